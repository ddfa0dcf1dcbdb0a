"""Starts a small deployment on loopback addresses, and ends it."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from http1 import read_chunks, read_head

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[2]
ZONES = ('zone-a', 'zone-b', 'zone-c')
TURNS_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 7400, 8783, 8780, 8785
SERVER_PORT, STORE_PORT, METRICS_PORT = 8782, 8781, 9464
HOST = 'desk.example'
START_SECONDS = 15.0
LEDKARTA_BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxStretchMs': 5000,
    'failClosed': True, 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
    'retryWindowS': 10, 'retrySlack': 58, 'recoverS': 12, 'passMs': 120,
    'reuseWindowS': 10, 'quotaWindowS': 4,
}
PROZORKO_BOUNDS = {
    **LEDKARTA_BOUNDS, 'contactMs': 4000, 'ackMs': 6000, 'catchUpS': 6,
    'drainMs': 3000, 'configApplyMs': 3000, 'maxStretchMs': 6000,
    'retrySlack': 86, 'recoverS': 15, 'passMs': 200,
}
MODEL_SERVICE = {
    'name': 'models', 'healthPath': '/healthz', 'maxConnections': 370,
    'protocol': 'h1', 'tls': False,
    'engine': {
        'slots': 64, 'kvCapacity': 500_000, 'kvTokenBytes': 18432,
        'linkMbps': 550000.0, 'models': [{'name': 'm'}],
    },
}
PLAIN_SERVICE = {
    'name': 'desk', 'healthPath': '/healthz', 'maxConnections': 110,
    'protocol': 'h1', 'tls': False,
}
STREAM_ROUTE = {
    'name': 'r-stream', 'host': HOST, 'pathPrefix': '/bulletin/',
    'type': 'streaming', 'timeoutMs': 15000, 'targetLatencyMs': 1000,
    'priority': 1, 'service': 'models', 'maxAttempts': 2, 'anonymous': False,
    'sessionAffinity': True, 'streamResume': True, 'targetGapMs': 300,
}
ONCE_ROUTE = {
    'name': 'r-once', 'host': HOST, 'pathPrefix': '/report/',
    'type': 'non_idempotent', 'timeoutMs': 1500, 'targetLatencyMs': 200,
    'priority': 1, 'service': 'desk', 'maxAttempts': 1, 'anonymous': False,
}
LIMITS = {
    'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000, 'tokensPerS': 220000,
}


class CannotRunError(Exception):
    """The case could not run; it shows nothing."""


class Fleet:
    """The store, servers, entries and sides of one script."""

    def __init__(self, folder: Path, bounds: dict, *, born: bool) -> None:
        self.folder = folder
        self.bounds = bounds
        self._born = born
        self.processes: dict[str, subprocess.Popen] = {}
        self._logs: list = []
        self._net = self._free_net()
        self._next = 1
        self.store = f'{self.address()}:{STORE_PORT}'
        self.entries: dict[str, str] = {}
        self.servers: dict[str, dict] = {}

    @staticmethod
    def _free_net() -> str:
        for _ in range(100):
            net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
            ports = (TURNS_PORT, FRONT_PORT, READY_PORT, SERVER_PORT,
                     STORE_PORT, METRICS_PORT)
            try:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f'{net}.1', port))
            except OSError:
                continue
            return net
        raise CannotRunError('no free loopback addresses')

    def address(self) -> str:
        """Return the address of a new machine."""
        self._next += 1
        return f'{self._net}.{self._next}'

    def start(self, name: str, words: list[str], **variables: str) -> None:
        """Start a process; its output goes to a file."""
        output = (self.folder / f'{name}.out').open('ab')
        self._logs.append(output)
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        self.processes[name] = subprocess.Popen(
            words, cwd=ROOT, env={**environment, **variables},
            stdout=output, stderr=output, stdin=subprocess.DEVNULL,
        )

    async def start_store(self) -> None:
        """Start the stand-in of the store, and wait until it answers."""
        self.start('store', [sys.executable, str(HERE / 'store.py'), self.store])
        await self._listed(0)

    async def registered(self) -> None:
        """Wait until all servers are listed in the store."""
        await self._listed(len(self.servers))

    async def _listed(self, servers: int) -> None:
        until = time.monotonic() + START_SECONDS
        while await _count_servers(self.store) < servers:
            if time.monotonic() > until:
                raise CannotRunError('the store or the servers do not start')
            await asyncio.sleep(0.05)

    def start_server(self, name: str, service: str, **settings: object) -> None:
        """Start the stand-in of a server; a model engine has a side."""
        ip = self.address()
        full = {
            'id': name, 'service': service, 'address': f'{ip}:{SERVER_PORT}',
            'zone': ZONES[len(self.servers) % len(ZONES)], 'store': self.store,
            'log': str(self.folder / f'{name}.runs'), 'slots': 6,
            'work_ms': 45, 'drain_s': self.bounds['drainMs'] / 1000,
            'more_s': 6.0, 'born': self._born, **settings,
        }
        self.servers[name] = full
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(full), encoding='utf-8')
        program = 'moving_server.py' if full.get('moves') else 'server.py'
        self.start(name, [sys.executable, str(HERE / program), str(path)])
        if full.get('model'):
            self.start_program(f'side-{name}', 'side', ip, app=full['address'])

    def start_entry(self, name: str) -> None:
        """Start an entry; again at its address if it had one."""
        ip = self.entries.get(name) or self.address()
        self.entries[name] = ip
        self.start_program(name, 'entry', ip)

    def start_program(self, name: str, role: str, ip: str, app: str = '') -> None:
        """Start a program of the project by the command of the deploy file."""
        settings = _settings(name, role, ip, self.store, app, self.bounds)
        path = self.folder / f'{name}.toml'
        path.write_text(settings, encoding='utf-8')
        words = _deployed_command(role)
        self.start(
            name, words, SARDINETRACK_BOOT=str(path),
            PYTHONPATH=str(ROOT / 'target' / 'deps'),
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def runs(self) -> list[dict]:
        """Return what the servers have written, by time."""
        lines = [
            json.loads(line)
            for path in self.folder.glob('*.runs')
            for line in path.read_text(encoding='utf-8').splitlines()
        ]
        return sorted(lines, key=lambda line: line['t'])

    def check_alive(self, but: tuple[str, ...] = ()) -> None:
        """Raise if a process has ended that should not have."""
        for name, process in self.processes.items():
            if name not in but and process.poll() is not None:
                raise CannotRunError(f'{name} has ended: {process.returncode}')

    def end(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for output in self._logs:
            output.close()

    async def ready(self) -> None:
        """Wait until all entries say that they are ready."""
        until = time.monotonic() + START_SECONDS
        for name, ip in self.entries.items():
            while await _readiness(ip) != 200:
                if time.monotonic() > until:
                    raise CannotRunError(f'{name} does not get ready')
                await asyncio.sleep(0.05)


class Answer:
    """What a caller got for one request."""

    def __init__(self, request_id: str, entry: str, sent: float) -> None:
        self.id = request_id
        self.entry = entry
        self.sent = sent
        self.ended = sent
        self.status = 0
        self.stamped = False
        self.complete = False
        self.body = b''
        self.key: str | None = None
        self.error = ''


async def ask(
    entry: tuple[str, str], path: str, body: bytes, *,
    key: str | None, seconds: float, headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
    """Send one request on a connection of its own, and read the answer."""
    request_id = f'{random.getrandbits(64):016x}'
    answer = Answer(request_id, entry[0], time.monotonic())
    answer.key = key
    lines = [f'POST {path} HTTP/1.1', f'Host: {HOST}',
             f'X-Sardinetrack-Request-Id: {request_id}',
             f'X-Sardinetrack-Deadline-Ms: {int(seconds * 1000)}',
             f'Content-Length: {len(body)}']
    if key is not None:
        lines.append(f'Authorization: Bearer {key}')
    lines += [f'{name}: {content}' for name, content in headers]
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(entry[1], FRONT_PORT)
            answer.sent = time.monotonic()
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = await read_head(reader)
            answer.status = head.status
            answer.stamped = 'x-sardinetrack-server-stamp' in head.headers
            if 'transfer-encoding' in head.headers:
                async for piece in read_chunks(reader):
                    answer.body += piece
            else:
                length = int(head.headers.get('content-length', '0'))
                answer.body = await reader.readexactly(length)
            answer.complete = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        answer.error = repr(error)
    finally:
        answer.ended = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


async def put(store: str, key: str, spec: object) -> float:
    """Write an object as the operator does; return when it was acknowledged."""
    from server import call_store

    status = await call_store(store, 'PUT', key, spec)
    if status != 200:
        raise CannotRunError(f'the store answered {status}')
    return time.monotonic()


def configuration(
    version: int, routes: list[dict], services: list[dict], tenants: list[dict]
) -> dict:
    """Return a configuration."""
    return {'version': version, 'routes': routes, 'services': services,
            'limits': LIMITS, 'tenants': tenants}


def run_case(
    case: Path, play, *, trouble: bool,
    bounds: dict = LEDKARTA_BOUNDS, born: bool = False,
) -> int:
    """Play a case in a temporary folder, and write its record.

    :param born: servers say when they started, as on the sites whose servers
        may start again under their ids.
    """
    sys.setrecursionlimit(10_000)
    signal.signal(signal.SIGTERM, _exit_on_signal)
    record: list[tuple[float, str]] = []
    with tempfile.TemporaryDirectory(prefix='review-') as name:
        fleet = Fleet(Path(name), bounds, born=born)
        try:
            broken = asyncio.run(play(fleet, record, trouble))
            code = 1 if broken else 0
        except Exception as error:  # An error of the script shows nothing.
            record.append((time.monotonic(), f'COULD NOT RUN: {error!r}'))
            code = 2
        finally:
            fleet.end()
            _add_faults(fleet.folder, record)
    record.sort(key=lambda line: line[0])
    began = record[0][0] if record else 0
    lines = [f'{at - began:8.3f} {text}' for at, text in record]
    lines.append(f'trouble={int(trouble)} exit={code}')
    (case / 'record.txt').write_text('\n'.join(lines) + '\n', encoding='utf-8')
    for _, text in record:
        if text.startswith(('RULE', 'CHECK', 'COULD', 'SEEN')):
            sys.stdout.write(f'{text}\n')
    sys.stdout.write(f'exit {code}\n')
    return code


def _exit_on_signal(*_: object) -> None:
    """Leave by an exception, so that all processes are ended."""
    raise SystemExit(2)


def wants_trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def _add_faults(folder: Path, record: list[tuple[float, str]]) -> None:
    """Copy the lines about faults and the store from the programs' logs."""
    at = max((one[0] for one in record), default=0)
    wanted = ('"fault"', 'store_lost', 'store_back', 'Traceback')
    for path in sorted(folder.glob('*.out')):
        text = path.read_text(encoding='utf-8', errors='replace')
        lines = [one for one in text.splitlines() if any(w in one for w in wanted)]
        for line in lines[:5]:
            record.append((at, f'log of {path.stem}: {line[:300]}'))


async def _count_servers(store: str) -> int:
    """Count the listed servers; -1 if the store does not answer."""
    ip, _, port = store.rpartition(':')
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b'GET /v1/objects/servers HTTP/1.1\r\nHost: x\r\n\r\n')
            length = (await read_head(reader)).headers['content-length']
            page = json.loads(await reader.readexactly(int(length)))
            writer.close()
            return len(page['items'])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return -1


async def _readiness(ip: str) -> int:
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(ip, READY_PORT)
            writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            status = (await read_head(reader)).status
            writer.close()
            return status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


def _deployed_command(role: str) -> list[str]:
    import tomllib

    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text(encoding='utf-8'))
    words = deploy['roles'][role]['run'].split()
    return [sys.executable, *words[1:]] if words[0] == 'python3' else words


def _settings(
    name: str, role: str, ip: str, store: str, app: str, bounds: dict
) -> str:
    is_entry = role == 'entry'
    lines = [
        f'nodeName = "{name}"', f'role = "{role}"',
        f'machineClass = "{"edge" if is_entry else "side"}"',
        f'serves = ["{"edge" if is_entry else "side"}"]',
        f'ip = "{ip}"', f'zone = "{ZONES[0]}"', 'region = "region"',
        f'internalPortRange = [{TURNS_PORT},{TURNS_PORT + 15}]',
        'seedNodes = []', 'bootstrap = true', 'lossCounts = false',
        'discovery = "platform"', 'entryPoint = "vip"', 'heartbeatMs = 1200',
        'contracts = ["base","drain","config","cost","retry","recover",'
        '"engine","stream","tenants","platform"]',
    ]
    if app:
        lines += [f'app = "{app}"', 'service = "models"']
    lines.append('[zones]')
    lines += [f'{zone} = "region"' for zone in ZONES]
    lines.append('[listenAddresses]')
    if is_entry:
        lines += [f'frontend = "{ip}:{FRONT_PORT}"', f'ready = "{ip}:{READY_PORT}"',
                  f'controlPlane = "{ip}:{CONTROL_PORT}"']
    lines += ['[limits]', 'cpuShare = 0.817', 'cpuCores = 1',
              f'memoryMb = {300 if is_entry else 232}', 'maxFds = 4100',
              'linkMbps = 1000.0', 'diskMb = 0',
              '[faultTolerance]', 'machines = 2', 'zones = 0', 'regions = 0',
              '[bounds]']
    lines += [f'{key} = {json.dumps(bound)}' for key, bound in bounds.items()]
    lines += ['[platform]', f'address = "{store}"', 'form = "objects"',
              'writesPerS = 400', 'readsPerS = 2000', 'historyS = 20',
              'valueBytes = 1048576', 'ttlMinMs = 1000', '']
    return '\n'.join(lines)
