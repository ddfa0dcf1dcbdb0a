"""The processes of the soak, and the stand-ins around them."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Self

from tests.support.object_store import ObjectStore

from benchmarks.soak.engine import SoakServer
from sardinetrack.standin.relay import Relay, relaying

ROOT = Path(__file__).parents[2]
START = ROOT / 'deploy' / 'start.py'
GRACE_SECONDS = 6.0
REVOKE_SECONDS = 5.0
_REVOKE_MILLISECONDS = 5000
_STORE_PORT = 18781
_NETS = 250
_CALLERS_PORT = 18783
_READY_PORT = 18780
_TURNS_PORT = 18700
_LAST_PORT = 18715


def free_net(first: int) -> int:
    """Find a second number of addresses that no other run uses now.

    Two runs of the same seed at the same time would else take each other's
    addresses, and the one that came second would fail.

    :param first: where to begin to look.
    """
    for offset in range(_NETS):
        net = (first + offset) % _NETS + 1
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f'127.{net}.0.1', _STORE_PORT))
            return net
    raise RuntimeError('every address of the soak is taken')


class Process:
    """One program, started again whenever it ends."""

    def __init__(self, role: str, ip: str, store_ip: str, folder: str) -> None:
        """Write its settings.

        :param store_ip: of its own way to the store, which can be harmed.
        """
        self.role = role
        self.ip = ip
        self.store_ip = store_ip
        self.running: asyncio.subprocess.Process | None = None
        self.stopped_seconds = float('-inf')
        self._settings = Path(folder) / f'{role}-{ip}.toml'
        self._log = Path(folder) / f'{role}-{ip}.log'
        self._settings.write_text(_settings(role, ip, store_ip))

    async def start(self) -> None:
        """Run the program; its lines go to a file."""
        with self._log.open('ab') as log:
            self.running = await asyncio.create_subprocess_exec(
                sys.executable,
                str(START),
                self.role,
                stdout=log,
                stderr=log,
                env={**os.environ, 'SARDINETRACK_BOOT': str(self._settings)},
            )

    async def keep(self) -> None:
        """Start it anew a moment after each end."""
        while True:
            await self.start()
            if self.running is not None:
                await self.running.wait()
            await asyncio.sleep(0.3)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process and to no other."""
        with suppress(ProcessLookupError):
            if self.running is not None and self.running.returncode is None:
                self.running.send_signal(number)


class World:
    """Entries, sides, servers and the store of one run."""

    def __init__(
        self,
        net: int,
        entries: int,
        models: int,
        plain: int,
    ) -> None:
        """Plan the addresses.

        :param net: second number of the addresses, all on the loopback
            range; runs with different ones don't meet.
        """
        self._net = net
        self._store_ip = f'127.{net}.0.1'
        self.ways: list[Relay] = []
        """Each process's own way to the store."""
        self.revoked: list[tuple[float, float, str]] = []
        """From when until when no request of a workspace may begin."""
        self.runs: Counter[str] = Counter()
        self.store = ObjectStore()
        self.store.port = _STORE_PORT
        self.folder = tempfile.TemporaryDirectory()
        self.version = 1
        self.keys = {f'key-{number}': f'w{number}' for number in range(4)}
        self.entries = self._processes('entry', f'127.{net}.1', entries)
        self.sides = self._processes('side', f'127.{net}.2', models)
        self.servers = [
            *self._servers('models', f'127.{net}.2', models),
            *self._servers('plain', f'127.{net}.3', plain),
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
            await self._open_way(process)
            task = asyncio.create_task(process.keep())
            self._tasks.append(task)
        return self

    async def _open_way(self, process: Process) -> None:
        way = relaying(
            self._store_ip,
            _STORE_PORT,
            ip=process.store_ip,
            port=_STORE_PORT,
        )
        self.ways.append(await self._stack.enter_async_context(way))

    async def __aexit__(self, *_: object) -> None:
        """Stop the processes that were started here."""
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

    def late_runs(self) -> list[str]:
        """List what began to run with a key that was taken away before."""
        late: list[str] = []
        for since, until, workspace in self.revoked:
            began = [
                at - since
                for server in self.servers
                for at, ran in server.keys
                if ran == workspace and since < at < until
            ]
            late.extend(f'{workspace} ran, {one:.1f} s late' for one in began)
        return late

    def configure(self) -> None:
        """Put a new version of the configuration into the store."""
        self.version += 1
        tenants = [
            {'name': name, 'apiKeys': [key]} for key, name in self.keys.items()
        ]
        self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': [
                    _route('stream', 'streaming', 'models', resumes=True),
                    _route('once', 'streaming', 'models'),
                    _route('fetch', 'idempotent', 'plain'),
                    _route('report', 'non_idempotent', 'plain'),
                ],
                'services': [
                    {
                        'name': 'models',
                        'engine': {'slots': 16, 'kvCapacity': 200_000},
                    },
                    {'name': 'plain'},
                ],
                'tenants': tenants,
            },
        )

    def list_server(self, server: SoakServer, state: str = 'ready') -> None:
        """Write a server's entry as it does itself."""
        self.store.put(
            'servers',
            server.instance,
            {
                'service': server.pool,
                'address': f'{server.ip}:{server.port}',
                'zone': 'a',
                'version': 'v1',
                'slots': 16,
                'state': state,
                'warmupLeftMs': 0,
                'sequence': 1,
            },
        )

    def _processes(self, role: str, net: str, count: int) -> list[Process]:
        way = 4 if role == 'entry' else 5
        return [
            Process(
                role,
                f'{net}.{number}',
                f'127.{self._net}.{way}.{number}',
                self.folder.name,
            )
            for number in range(1, count + 1)
        ]

    def _servers(self, pool: str, net: str, count: int) -> list[SoakServer]:
        return [
            SoakServer(f'{net}.{number}', pool, self.runs)
            for number in range(1, count + 1)
        ]


def address(entry: Process) -> tuple[str, int]:
    """Tell where callers reach an entry."""
    return entry.ip, _CALLERS_PORT


def _route(
    name: str,
    kind: str,
    pool: str,
    *,
    resumes: bool = False,
) -> dict[str, object]:
    return {
        'name': name,
        'host': 'h.example',
        'pathPrefix': f'/{name}/',
        'type': kind,
        'timeoutMs': 5000,
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
