"""The fleet of processes: platform, stand-ins, sides, entries, proxies."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Any, Final

import anyio
import httpcore

from benchmarks.chaos.submission import MODEL, SERVICE, WORKSPACES, token_of
from sardinetrack.standin.tcp_proxy import TcpProxy, open_proxy
from support.fleet import PLATFORM_TOKEN, Fleet, eventually
from support.process import Process

ENTRIES: Final = ('entry-0', 'entry-1', 'entry-2')
ENGINES: Final = ('engine-0', 'engine-1', 'engine-2', 'engine-3')
SERVICES: Final = ('chart-0', 'chart-1')
SERVERS: Final = (*ENGINES, *SERVICES)
SLOTS: Final = 4
WAIT_SECONDS: Final = 20.0
_IP: Final = '127.0.0.1'
_LIMITS: Final = MappingProxyType(
    {
        'concurrency': 100_000,
        'rate_per_second': 100_000,
        'waiting': 100_000,
    },
)
_RATES: Final = MappingProxyType({'base_token_seconds': 0.04})
_RUN_SECONDS: Final = 30.0
_CALL_FAILURES: Final = (
    AssertionError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


class ProxiedFleet(Fleet):
    """Lists proxies in place of the sides; retries calls on the platform."""

    def __init__(self) -> None:
        super().__init__()
        self.proxies: dict[str, str] = {}
        """Addresses of the proxies by instance."""

    def list_instance(self, name: str, **row: Any) -> None:
        """List an instance at the platform; retry until the call succeeds."""
        address = self.proxies.get(name, row['address'])
        listed = {**row, 'address': address}
        listing = partial(super().list_instance, name, **listed)
        eventually(partial(_succeeds, listing))


def _succeeds(call: Callable[[], Any]) -> bool:
    """Return whether a call of an operator or scheduler succeeded."""
    try:
        call()
    except _CALL_FAILURES:
        return False
    return True


class World:
    """Processes by name and the proxies in front of them.

    Entries reach a side through one proxy, a side its backend server through
    another, and an entry the platform through a third.
    """

    def __init__(self, seed: int, fleet: ProxiedFleet) -> None:
        """Build a world whose processes are not started yet.

        :param seed: seed of everything drawn.
        :param fleet: starts the processes.
        """
        self.random = Random(seed)
        self.fleet = fleet
        self.side_proxies: dict[str, TcpProxy] = {}
        self.server_proxies: dict[str, TcpProxy] = {}
        self.platform_proxies: dict[str, TcpProxy] = {}
        self.server_urls: dict[str, str] = {}
        self.killed: set[int] = set()
        """Process ids of the processes that were killed."""
        self.out_of_service: set[str] = set()
        """Entries to which the balancer sends no callers."""
        self.under_fault: set[str] = set()
        """Processes that a fault affects now."""

    async def start(self, stack: AsyncExitStack) -> None:
        """Start everything; the proxies run until the stack is closed."""
        await self.blocking(self.fleet.start_platform)
        await self.blocking(self._put_catalogue)
        async with anyio.create_task_group() as tasks:
            for server in SERVERS:
                tasks.start_soon(self._start_server, server)
        for server in SERVERS:
            proxy = await _open_proxy(stack, self.server_urls[server])
            self.server_proxies[server] = proxy
        async with anyio.create_task_group() as tasks:
            for server in SERVERS:
                tasks.start_soon(self.start_side, server, 0)
        for server in SERVERS:
            await self._proxy_side(stack, server)
        for entry in ENTRIES:
            proxy = await _open_proxy(stack, self.fleet.platform_url)
            self.platform_proxies[entry] = proxy
        async with anyio.create_task_group() as tasks:
            for entry in ENTRIES:
                tasks.start_soon(self.start_entry, entry)

    async def blocking(self, call: Callable[..., Any], *arguments: Any) -> Any:
        """Call a blocking function in a worker thread."""
        return await anyio.to_thread.run_sync(call, *arguments)

    async def start_side(self, server: str, port: int) -> None:
        """Start a side at a port; 0 lets the system choose."""
        proxy = self.server_proxies[server]
        start = partial(
            self.fleet.start_side,
            MODEL if server in ENGINES else SERVICE,
            server,
            f'http://{_IP}:{proxy.port}',
            peer={'port': port},
        )
        await self.blocking(start)

    async def start_entry(self, entry: str) -> None:
        """Start an entry and wait until it is ready and linked."""
        proxy = self.platform_proxies[entry]
        start = partial(
            self.fleet.start_entry,
            entry,
            platform={
                'url': f'http://{_IP}:{proxy.port}',
                'token': {'value': PLATFORM_TOKEN},
            },
            bounds={'wait_seconds': WAIT_SECONDS},
        )
        await self.blocking(start)
        await self.blocking(self.fleet.wait_ready, entry)
        self.out_of_service.discard(entry)

    async def wait_all_linked(self) -> None:
        """Wait until every entry uses every side."""
        for entry in ENTRIES:
            await self.blocking(self.fleet.wait_linked, entry, len(SERVERS))

    def process(self, name: str) -> Process:
        """Return the current process of a name."""
        return self.fleet.processes[name]

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.process(name)
        self.killed.add(process.pid)
        process.kill()

    def peer_port(self, name: str) -> int:
        """Return the port where a daemon listens for peers."""
        address = str(self.process(name).ready['peer_address'])
        return int(address.rpartition(':')[2])

    def put_server_faults(self, server: str, faults: dict[str, Any]) -> None:
        """Replace a stand-in's faults."""
        response = self.fleet.platform.call(
            'PUT',
            f'{self.server_urls[server]}/standin/faults',
            json.dumps(faults).encode(),
        )
        assert response.status < 300, response

    def executions(self, server: str) -> dict[str, dict[str, int]]:
        """Return the execution counts of a stand-in."""
        url = f'{self.server_urls[server]}/standin/executions'
        found: dict[str, dict[str, int]]
        found = self.fleet.platform.call('GET', url).json()
        return found

    def put_pools(self, slots: int) -> None:
        """Write both pools."""
        limits = {'slots_per_server': slots, 'max_run_seconds': _RUN_SECONDS}
        reads = [{'method': 'GET', 'path_prefix': '/'}]
        model = partial(self.fleet.model_pool, MODEL, MODEL, **limits)
        eventually(partial(_succeeds, model))
        service = partial(self.fleet.service_pool, SERVICE, reads, **limits)
        eventually(partial(_succeeds, service))

    def _put_catalogue(self) -> None:
        for workspace in WORKSPACES:
            self.fleet.workspace(workspace, token_of(workspace), **_LIMITS)
        self.put_pools(SLOTS)

    async def _start_server(self, server: str) -> None:
        start = partial(self.fleet.start_service, server)
        if server in ENGINES:
            start = partial(
                self.fleet.start_engine,
                server,
                model=MODEL,
                rates=dict(_RATES),
            )
        self.server_urls[server] = await self.blocking(start)

    async def _proxy_side(self, stack: AsyncExitStack, server: str) -> None:
        name = f'side-{server}'
        proxy = await _open_proxy(stack, f'http://{_IP}:{self.peer_port(name)}')
        self.side_proxies[server] = proxy
        self.fleet.proxies[name] = f'{_IP}:{proxy.port}'
        listing = partial(
            self.fleet.list_instance,
            name,
            role='side',
            address='',
            pool=MODEL if server in ENGINES else SERVICE,
            backend_server=server,
        )
        await self.blocking(listing)


async def _open_proxy(stack: AsyncExitStack, url: str) -> TcpProxy:
    port = int(url.rpartition(':')[2])
    return await stack.enter_async_context(open_proxy(_IP, port))
