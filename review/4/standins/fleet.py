"""Stand-ins and process control for the scripts of the second review.

Only the standard library. One process holds the platform's store, the engines
and the clients; the entry and the sides are processes of their own, started
with the commands of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[3]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PAGE = 500
HELD, BROKEN, NOT_RUN = 0, 1, 2
NO_CONNECTION = -1


class CannotRun(Exception):
    """The case could not run; exit code 2."""


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self._file = (folder / 'record.txt').open('w')

    def now(self) -> float:
        return time.monotonic() - self.began

    def line(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} s  {text}\n')
        self._file.flush()

    def both(self, text: str) -> None:
        self.line(text)
        print(text, flush=True)


def free_block() -> str:
    """Return the first three parts of loopback addresses nobody listens at."""
    for _ in range(50):
        block = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for host, port in ((1, 8783), (1, 9464), (2, 7400), (9, 8781)):
                with socket.socket() as probe:
                    probe.bind((f'{block}.{host}', port))
        except OSError:
            continue
        return block
    raise CannotRun('no free loopback addresses')


async def read_head(reader: asyncio.StreamReader):
    """Return (first line, headers) or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, content = line.partition(':')
        if colon:
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


def encode(answer) -> bytes:
    """Encode as JSON; bytes in it are given out as they came."""
    raw: list[bytes] = []

    def mark(value: bytes) -> str:
        raw.append(value)
        return f'raw bytes {len(raw) - 1}'

    text = json.dumps(answer, default=mark).encode()
    for number, value in enumerate(raw):
        text = text.replace(b'"raw bytes %d"' % number, value, 1)
    return text


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, record: Record, answer_s: float = 0.004) -> None:
        self.record = record
        self.answer_s = answer_s
        self.revision = 100
        self.kinds: dict[str, dict[str, dict]] = {'config': {}, 'servers': {}}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.lists: list[tuple[float, str, str, int]] = []
        self._server = None

    async def start(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 20, backlog=256
        )

    def put(self, kind: str, name: str, spec: dict | bytes) -> int:
        """Write an object; return the revision, which acknowledges it."""
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': {},
        }
        self.kinds.setdefault(kind, {})[name] = stored
        self._event(kind, stored, removed=False)
        return self.revision

    def remove(self, kind: str, name: str) -> int:
        self.revision += 1
        stored = self.kinds[kind].pop(name)
        self._event(kind, stored, removed=True)
        return self.revision

    def _event(self, kind: str, stored: dict, *, removed: bool) -> None:
        self.events.append((self.revision, kind, stored, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                length = int(headers.get('content-length', 0))
                if length:
                    await reader.readexactly(length)
                method, target, _ = line.split(' ')
                status, body = await self._answer(method, target)
                text = encode(body)
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n%b' % (status, len(text), text)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, method: str, target: str):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path.removeprefix('/v1/objects/').split('/')
        if method != 'GET':
            return 503, {}
        if 'watch' in query:
            return await self._watch(path[0], query)
        await asyncio.sleep(self.answer_s)
        kind = self.kinds.get(path[0], {})
        if len(path) > 1:
            found = kind.get(path[1])
            return (404, {}) if found is None else (200, found)
        after = query.get('after', '')
        names = sorted(name for name in kind if name > after)
        page = names[:PAGE]
        self.lists.append((self.record.now(), path[0], after, self.revision))
        return 200, {
            'items': [kind[name] for name in page],
            'truncated': len(names) > len(page),
            'asOf': self.revision,
        }

    async def _watch(self, kind: str, query: dict):
        after = int(query['watch'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            found = [
                {'object': stored, 'removed': removed}
                for revision, its_kind, stored, removed in self.events
                if its_kind == kind and revision > after
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                answer = {'events': found, 'asOf': self.revision}
                await asyncio.sleep(self.answer_s)
                return 200, answer
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue


class Engine:
    """A plain service, or a model engine, at one address."""

    def __init__(self, record: Record, name: str, ip: str, port: int) -> None:
        self.record = record
        self.name = name
        self.ip, self.port = ip, port
        self.work_s = 0.02
        self.answer_bytes = 0
        self.fails = 0.0
        self.events = 50
        self.arrived: list[tuple[float, str, int]] = []
        self._server = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 20, backlog=256
        )

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                length = int(headers.get('content-length', 0))
                if length:
                    await reader.readexactly(length)
                await self._run(line, headers, length, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _stream(self, request: str, writer) -> None:
        """Send an event every fifth of a second."""
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Sardinetrack-Request-Id: {request}\r\n'
            f'X-Sardinetrack-Server-Stamp: {self.name}.{request}\r\n'
            f'content-type: text/event-stream\r\n'
            f'transfer-encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(1, self.events + 1):
            event = f'id: {number}\ndata: {request}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.2)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async def _run(self, line, headers, length, writer) -> None:
        request = headers.get('x-sardinetrack-request-id', '')
        expected = headers.get('x-sardinetrack-expect-instance', self.name)
        if line.startswith('GET /v1/report'):
            body = json.dumps(
                {'phase': 'both', 'models': [], 'busy': False, 'sequence': 1,
                 'queued': 0, 'active': 0, 'kvUsed': 0, 'kvTotal': 1,
                 'kvHandles': 0, 'runs': []}
            ).encode()
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'
                         % (len(body), body))
            return
        if expected != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected\r\nX-Sardinetrack-Request-Id: '
                f'{request}\r\ncontent-length: 0\r\n\r\n'.encode()
            )
            return
        self.arrived.append((self.record.now(), request, length))
        await asyncio.sleep(self.work_s)
        if line.split(' ')[1].startswith('/stream/'):
            await self._stream(request, writer)
            return
        status = 500 if random.random() < self.fails else 200
        body = f'{self.name} ran {request}'.encode()
        if line.split(' ')[1].startswith('/export/'):
            body = body.ljust(self.answer_bytes, b'.')
        writer.write(
            f'HTTP/1.1 {status} X\r\nX-Sardinetrack-Request-Id: {request}\r\n'
            f'X-Sardinetrack-Server-Stamp: {self.name}.{request}\r\n'
            f'X-Sardinetrack-Server-Load: 0,0,6\r\n'
            f'content-length: {len(body)}\r\n\r\n'.encode() + body
        )
        await writer.drain()


def server_spec(service: str, address: str, zone: str, slots: int = 6) -> dict:
    """Return what an engine writes of itself into the store."""
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'warmupLeftMs': 0,
        'sequence': 1,
    }


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    return {
        'name': name,
        'host': 'review.example',
        'pathPrefix': prefix,
        'type': kind,
        'service': service,
        'timeoutMs': 15000,
        'targetLatencyMs': 1000,
        'maxAttempts': 1,
        'priority': 1,
        'anonymous': True,
        **more,
    }


SETTINGS = """\
nodeName = "{name}"
role = "my-{role}"
machineClass = "{machine}"
serves = ["{machine}"]
ip = "{ip}"
zone = "zone-a"
region = "region"
internalPortRange = [7400,7415]
seedNodes = []
bootstrap = true
lossCounts = false
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
{app}
[zones]
zone-a = "region"

[listenAddresses]
{listen}

[limits]
cpuShare = 0.817
cpuCores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 2
zones = 0
regions = 0

[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoverS = 12
passMs = 120
reuseWindowS = 8.3
quotaWindowS = 4

[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Fleet:
    """Processes of the project, with a temporary folder for their files."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.block = free_block()
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        with (ROOT / 'deploy' / 'system.toml').open('rb') as deploy:
            self._roles = tomllib.load(deploy)['roles']
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('the build of the deploy file has not run')

    @property
    def store_address(self) -> str:
        return f'{self.block}.9:8781'

    def settings(self, role: str, host: int, memory_mb: int, app: str) -> Path:
        ip = f'{self.block}.{host}'
        listen = ''
        if role == 'entry':
            listen = f'frontend = "{ip}:8783"\nready = "{ip}:8780"'
        path = self.folder / f'{role}-{host}.toml'
        path.write_text(
            SETTINGS.format(
                name=f'{role}-{host}',
                role=role,
                machine='edge' if role == 'entry' else 'side',
                ip=ip,
                app=f'app = "{app}"\n' if app else '',
                listen=listen,
                memory_mb=memory_mb,
                store=self.store_address,
            )
        )
        return path

    async def start(
        self, role: str, host: int, *, memory_mb: int = 150, app: str = ''
    ) -> asyncio.subprocess.Process:
        """Start a process with the command of the deploy file."""
        name = f'{role}-{host}'
        words = self._roles[role]['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['MALLOC_ARENA_MAX'] = '2'
        environment['SARDINETRACK_BOOT'] = str(
            self.settings(role, host, memory_mb, app)
        )
        log = (self.folder / f'{name}.log').open('ab')
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes[name] = process
        self.record.line(f'{name} started')
        return process

    async def wait_ready(self, host: int, seconds: float = 15) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready(host):
                self.record.line(f'entry-{host} is ready')
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'entry-{host} is not ready after {seconds} s')

    async def is_ready(self, host: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                f'{self.block}.{host}', 8780
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /v1/readyz HTTP/1.1\r\nhost: x\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and ' 200 ' in head[0]
        except (TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()

    def log_lines(self, name: str) -> list[dict]:
        lines = []
        path = self.folder / f'{name}.log'
        if path.exists():
            for line in path.read_text(errors='replace').splitlines():
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    lines.append({'event': 'text', 'text': line})
        return lines

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One kept connection of a client."""

    def __init__(
        self, ip: str, port: int = 8783, receive_buffer: int = 0
    ) -> None:
        """Prepare.

        :param receive_buffer: size of the socket's buffer; 0 for the system's.
        """
        self._address = (ip, port)
        self._receive_buffer = receive_buffer
        self._reader = self._writer = None
        self.used = 0

    async def connect(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if self._receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_connect(sock, self._address), 1)
        except BaseException:
            sock.close()
            raise
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=1 << 16
        )

    async def send(
        self, method: str, path: str, request: str, body: bytes = b'',
        deadline_ms: int = 10000, headers: str = '', pace: int = 0,
        read_pace: int = 0,
    ):
        """Send one request; return (status, body) or (0, what happened).

        Without a connection nothing is sent, and the status is negative.

        :param pace: bytes a second at which the body is sent; 0 for no limit.
        :param read_pace: the same for reading the answer's body.
        """
        try:
            if self._writer is None:
                await self.connect()
        except (TimeoutError, OSError):
            return NO_CONNECTION, 'no connection'
        try:
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: review.example\r\n'
                f'X-Sardinetrack-Request-Id: {request}\r\n'
                f'X-Sardinetrack-Deadline-Ms: {deadline_ms}\r\n{headers}'
            )
            if body or method == 'POST':
                head += f'Content-Length: {len(body)}\r\n'
            self._writer.write(head.encode() + b'\r\n')
            await self._send_body(body, pace)
            self.used += 1
            return await asyncio.wait_for(
                self._receive(read_pace), deadline_ms / 1000 + 1
            )
        except TimeoutError:
            self.close()
            return 0, 'no answer in time'
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            self.close()
            return 0, f'closed: {type(error).__name__}'

    async def _send_body(self, body: bytes, pace: int) -> None:
        if not pace:
            self._writer.write(body)
            await self._writer.drain()
            return
        piece = 65536
        for start in range(0, len(body), piece):
            self._writer.write(body[start:start + piece])
            await self._writer.drain()
            await asyncio.sleep(piece / pace)

    async def _receive(self, pace: int = 0):
        head = await read_head(self._reader)
        if head is None:
            self.close()
            return 0, 'closed without an answer'
        line, headers = head
        status = int(line.split(' ')[1])
        if headers.get('transfer-encoding') == 'chunked':
            body = await self._chunks()
        else:
            length = int(headers.get('content-length', 0))
            body = await self._read_body(length, pace)
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return status, body.decode('latin-1')

    async def _read_body(self, length: int, pace: int) -> bytes:
        if not pace:
            return await self._reader.readexactly(length)
        body = b''
        while len(body) < length:
            piece = await self._reader.readexactly(
                min(16384, length - len(body))
            )
            body += piece
            await asyncio.sleep(len(piece) / pace)
        return body

    async def _chunks(self) -> bytes:
        body = b''
        while True:
            size = int((await self._reader.readline()).strip() or b'x', 16)
            piece = await self._reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.used = 0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in millions of bytes."""
    try:
        fields = Path(f'/proc/{pid}/statm').read_text().split()
    except OSError:
        return 0
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


def run(case, folder: Path, seconds: float = 110) -> int:
    """Run a case; return the exit code of its script."""
    record = Record(folder)

    async def bounded() -> int:
        # Connections that are open at the end would each cause a traceback.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(seconds):
                return await case(fleet, record)
        finally:
            await fleet.stop()

    try:
        code = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        record.both(f'the case could not run: {error!r}')
        return NOT_RUN
    record.both({HELD: 'the rule held', BROKEN: 'the rule was broken'}[code])
    return code
