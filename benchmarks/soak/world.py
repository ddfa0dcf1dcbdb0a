"""The processes of the soak test, and the stand-ins around them."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack, closing, suppress
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from typing import Self

from tests.support.object_store import ObjectStore

from benchmarks.soak.engine import Moves, SoakEngine, SoakServer
from benchmarks.soak.losses import (
    GRACE_SECONDS,
    SHORTEST_TIMEOUT_SECONDS,
    Disturbances,
)
from sardinetrack.platform.settings import METRICS_PORT
from sardinetrack.standin.tcp_proxy import TcpProxy, open_proxy

ROOT = Path(__file__).parents[2]
START = ROOT / 'deploy' / 'start.py'
REVOKE_SECONDS = 5.0
_REVOKE_MILLISECONDS = 5000
EMPTY_POOL = 'spare'
"""A service without servers."""
_STORE_PORT = 18781
_NETS = 250
_CALLERS_PORT = 18783
_READY_PORT = 18780
_TURNS_PORT = 18700
_LAST_PORT = 18715
_ENGINE_PORT = 18790


def free_net(first: int) -> int:
    """Return a second octet of loopback addresses that no other run uses.

    Otherwise two concurrent runs of the same seed would use the same
    addresses, and the second one would fail.

    :param first: where the search starts.
    """
    for offset in range(_NETS):
        net = (first + offset) % _NETS + 1
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f'127.{net}.0.1', _STORE_PORT))
            return net
    raise RuntimeError('all address ranges of the soak test are in use')


class Process:
    """One program, restarted whenever it ends."""

    def __init__(
        self,
        role: str,
        ip: str,
        store_ip: str,
        folder: str,
        logs: str = '',
    ) -> None:
        """Write the program's settings.

        :param store_ip: IP address of its own proxy to the store, into which
            faults can be injected.
        """
        self.role = role
        self.ip = ip
        self.store_ip = store_ip
        self.running: asyncio.subprocess.Process | None = None
        self.disturbances = Disturbances()
        self.store_proxy: TcpProxy
        self._settings = Path(folder) / f'{role}-{ip}.toml'
        Path(logs or folder).mkdir(parents=True, exist_ok=True)
        self._settings_text = _settings(role, ip, store_ip)
        self._log = Path(logs or folder) / f'{role}-{ip}.log'
        self.ends: list[int] = []
        """Exit codes; negative where a signal ended it."""
        self.signalled_if_caught = False
        """Whether it gets no signal that it does not catch yet."""
        self.write_settings()

    @property
    def port(self) -> int:
        """The port that others connect to."""
        return _CALLERS_PORT if self.role == 'entry' else _TURNS_PORT

    def write_settings(self) -> None:
        """Write its settings file."""
        self._settings.write_text(self._settings_text)

    def tear_settings(self) -> None:
        """Leave its settings file in the middle of a write."""
        half = len(self._settings_text) // 2
        self._settings.write_text(self._settings_text[:half])

    def catches_signals(self) -> bool:
        """Whether it has handlers for the signals that it handles."""
        if self.running is None or self.running.returncode is not None:
            return False
        try:
            status = Path('/proc', str(self.running.pid), 'status').read_text()
        except OSError:
            return False
        caught = int(status.partition('SigCgt:')[2].split()[0], 16)
        return bool(caught >> (signal.SIGHUP - 1) & 1)

    async def start(self) -> None:
        """Start the program, with its output appended to a log file."""
        now = asyncio.get_running_loop().time()
        self.disturbances.starts.append(now)
        with self._log.open('ab') as log:
            self.running = await asyncio.create_subprocess_exec(
                sys.executable,
                str(START),
                self.role,
                stdout=log,
                stderr=log,
                env={**os.environ, 'SARDINETRACK_BOOT': str(self._settings)},
            )

    async def keep_running(self) -> None:
        """Restart it shortly after each end."""
        while True:
            await self.start()
            if self.running is not None:
                self.ends.append(await self.running.wait())
            await asyncio.sleep(0.3)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process and to no other."""
        is_lethal = number in {signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT}
        if self.signalled_if_caught and not is_lethal:
            # The start of the interpreter catches none.
            if not self.catches_signals():
                return
        with suppress(ProcessLookupError):
            if self.running is not None and self.running.returncode is None:
                if number == signal.SIGTERM:
                    now = asyncio.get_running_loop().time()
                    self.disturbances.stops.append(now)
                # Popen.send_signal() may reap the process before asyncio does,
                # which reports 255 then.
                os.kill(self.running.pid, number)


class SoakStore(ObjectStore):
    """The store, and what was done to it for all processes."""

    def __init__(self) -> None:
        """Build a store that is not open."""
        super().__init__()
        self.disturbances = Disturbances()


@dataclass(frozen=True)
class Options:
    """How a run differs from others of its seed."""

    entries: int = 3
    sides: int = 3
    """Number of processes; each side has an engine."""
    planned_only: bool = False
    """Only planned work is done, and servers fall silent."""
    starts: bool = False
    """Starts are disturbed too, and no process may end by itself."""
    logs: str = ''
    """Folder where the logs of the processes are left, if any."""
    leavings: bool = False
    """Servers leave beside trouble of the store, instead of other faults."""
    trouble: str = ''
    """The only one beside leavings; drawn each time by default."""


DEFAULTS = Options()


class World:
    """Entries, sides, servers and the store of one run."""

    def __init__(
        self, net: int, seed: int, options: Options = DEFAULTS
    ) -> None:
        """Assign the addresses.

        :param net: second octet of the loopback addresses; runs with
            different ones don't interfere.
        :param seed: seed of the failures of the engines.
        """
        self._net = net
        self._options = options
        self._store_ip = f'127.{net}.0.1'
        self.revoked: list[tuple[float, float, str]] = []
        """Start and end of the times in which a workspace's requests must not
        begin to run."""
        self.runs: Counter[str] = Counter()
        self.store = SoakStore()
        self.store.port = _STORE_PORT
        self.changed_routes: dict[str, dict[str, object] | None] = {}
        """New values of some fields by route; none if it is removed."""
        self.folder = tempfile.TemporaryDirectory()
        self.version = 1
        self.keys = {f'key-{number}': f'w{number}' for number in range(4)}
        self.entries = self._processes('entry', f'127.{net}.1')
        self.sides = self._processes('side', f'127.{net}.2')
        self.moves = Moves()
        self.engines = [
            SoakEngine(f'{side.ip}:{_ENGINE_PORT}', self.runs, self.moves, seed)
            for side in self.sides
        ]
        for engine in self.engines:
            engine.sound = options.planned_only
        self.servers = [
            *self.engines,
            SoakServer(f'127.{net}.3.1', 'plain', self.runs, seed),
            SoakServer(f'127.{net}.3.2', 'plain', self.runs, seed),
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start everything."""
        await self.store.open(self._store_ip)
        self.configure()
        for server in self.servers:
            await server.start()
            self.list_server(server)
        for process in (*self.entries, *self.sides):
            await self._open_proxy(process)
            self._tasks.append(asyncio.create_task(process.keep_running()))
        return self

    async def _open_proxy(self, process: Process) -> None:
        proxy = open_proxy(
            self._store_ip, _STORE_PORT, ip=process.store_ip, port=_STORE_PORT
        )
        process.store_proxy = await self._stack.enter_async_context(proxy)

    async def __aexit__(self, *_: object) -> None:
        """Stop the processes and servers that were started here."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in (*self.entries, *self.sides):
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
            if process.running is not None:
                await process.running.wait()
        for server in self.servers:
            await server.crash()
        await self._stack.aclose()
        await self.store.close()

    def runs_after_revocation(self) -> list[str]:
        """Describe the runs that began with a key that was revoked before."""
        late: list[str] = []
        for since, until, workspace in self.revoked:
            delays = [
                at - since
                for server in self.servers
                for at, ran in server.run_starts
                if ran == workspace and since < at < until
            ]
            late.extend(f'{workspace} ran, {one:.1f} s late' for one in delays)
        return late

    async def uncounted_streams(self) -> list[str]:
        """Describe the entries that ended streams without their pauses."""
        found: list[str] = []
        for entry in self.entries:
            page = await asyncio.to_thread(_metrics, entry.ip)
            paused = re.findall(r'stream_pause_ratio_count{.+} (\S+)', page)
            begun = re.findall(r'first_event_seconds_count (\S+)', page)
            if sum(map(float, paused)) != sum(map(float, begun)):
                found.append(f'{entry.ip} counts {paused} of {begun} streams')
        return found

    def configure(self) -> None:
        """Write a new version of the configuration to the store."""
        self.version += 1
        health = {'healthPath': '/healthz'}
        engine = {'slots': 16, 'kvCapacity': 200_000, 'moves': True}
        tenants = [
            {'name': name, 'apiKeys': [key]} for key, name in self.keys.items()
        ]
        self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': self._routes(),
                'services': [
                    {'name': 'models', 'engine': engine, **health},
                    {'name': 'plain', **health},
                    {'name': EMPTY_POOL},
                ],
                'tenants': tenants,
            },
        )

    def _routes(self) -> list[dict[str, object]]:
        routes: list[dict[str, object]] = []
        for route in (
            _route('stream', 'streaming', 'models', resumes=True),
            _route('once', 'streaming', 'models'),
            _route('fetch', 'idempotent', 'plain'),
            _route('report', 'non_idempotent', 'plain'),
        ):
            change = self.changed_routes.get(str(route['name']), {})
            if change is not None:
                routes.append(route | change)
        return routes

    def list_server(self, server: SoakServer, state: str = 'ready') -> None:
        """Write a server's object to the store, as servers do themselves."""
        record = {
            'service': server.pool,
            'address': f'{server.ip}:{server.port}',
            'zone': 'a',
            'version': server.version,
            'slots': 16,
            'state': state,
            'warmupLeftMs': 0,
            'sequence': 1,
        }
        if server.started is not None:
            record['born'] = server.started
        self.store.put('servers', server.instance, record)

    def _processes(self, role: str, net: str) -> list[Process]:
        options = self._options
        count = options.entries if role == 'entry' else options.sides
        third = 4 if role == 'entry' else 5
        processes = [
            Process(
                role,
                f'{net}.{number}',
                f'127.{self._net}.{third}.{number}',
                self.folder.name,
                options.logs,
            )
            for number in range(1, count + 1)
        ]
        for process in processes:
            process.signalled_if_caught = options.starts
        return processes


def address(entry: Process) -> tuple[str, int]:
    """Return the address where callers reach an entry."""
    return entry.ip, _CALLERS_PORT


def _metrics(ip: str) -> str:
    connection = HTTPConnection(ip, METRICS_PORT, timeout=2)
    with closing(connection):
        connection.request('GET', '/metrics')
        return connection.getresponse().read().decode()


def _route(
    name: str, kind: str, pool: str, *, resumes: bool = False
) -> dict[str, object]:
    return {
        'name': name,
        'host': 'h.example',
        'pathPrefix': f'/{name}/',
        'type': kind,
        'timeoutMs': int(SHORTEST_TIMEOUT_SECONDS * 1000),
        'service': pool,
        'maxAttempts': 2 if resumes or kind == 'idempotent' else 1,
        'anonymous': pool == 'plain',
        'sessionAffinity': pool == 'models',
        'streamResume': resumes,
        'targetGapMs': 300,
    }


def _settings(role: str, ip: str, store_ip: str) -> str:
    listens = (
        f'frontend = "{ip}:{_CALLERS_PORT}"',
        f'ready = "{ip}:{_READY_PORT}"',
    )
    lines = (
        f'nodeName = "{role}-{ip}"',
        f'ip = "{ip}"',
        'zone = "a"',
        *(() if role == 'entry' else (f'app = "{ip}:{_ENGINE_PORT}"',)),
        f'internalPortRange = [{_TURNS_PORT}, {_LAST_PORT}]',
        '[listenAddresses]',
        *(listens if role == 'entry' else ()),
        '[bounds]',
        f'graceS = {GRACE_SECONDS}',
        f'revokeMs = {_REVOKE_MILLISECONDS}',
        '[platform]',
        f'address = "{store_ip}:{_STORE_PORT}"',
    )
    return '\n'.join(lines)
