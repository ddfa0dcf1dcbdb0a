"""The real fleet: platform, stand-ins, sides, entries, relays between."""

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

from benchmarks.chaos.asked import MODEL, SERVICE, WORKSPACES, token_of
from sardinetrack.standin.relay import Relay, relaying
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
_UNHEARD: Final = (
    AssertionError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


class RelayedFleet(Fleet):
    """Lists relays instead of the sides behind them; waits for the platform."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self.relays: dict[str, str] = {}
        """Addresses by instance."""

    def list_instance(self, name: str, **row: Any) -> None:
        """Tell the platform's list of an instance, once it can be told."""
        address = self.relays.get(name, row['address'])
        told = {**row, 'address': address}
        listing = partial(super().list_instance, name, **told)
        eventually(partial(_is_done, listing))


def _is_done(call: Callable[[], Any]) -> bool:
    """Tell whether the platform took a call of an operator or scheduler."""
    try:
        call()
    except _UNHEARD:
        return False
    return True


class World:
    """Processes by name and the relays before them.

    Entries reach a side through one relay, a side its backend server through
    another, and an entry the platform through a third.
    """

    def __init__(self, seed: int, fleet: RelayedFleet) -> None:
        """Prepare."""
        self.random = Random(seed)
        self.fleet = fleet
        self.side_relays: dict[str, Relay] = {}
        self.server_relays: dict[str, Relay] = {}
        self.platform_relays: dict[str, Relay] = {}
        self.server_urls: dict[str, str] = {}
        self.killed: set[int] = set()
        """Ids of entry processes that were killed."""
        self.down: set[str] = set()
        """Entries to which the balancer sends nobody."""
        self.disturbed: set[str] = set()
        """Processes that a fault has to itself."""

    async def start(self, stack: AsyncExitStack) -> None:
        """Start everything; the relays live as long as the stack."""
        await self.blocking(self.fleet.start_platform)
        await self.blocking(self._put_catalogue)
        async with anyio.create_task_group() as tasks:
            for server in SERVERS:
                tasks.start_soon(self._start_server, server)
        for server in SERVERS:
            relay = await _relay(stack, self.server_urls[server])
            self.server_relays[server] = relay
        async with anyio.create_task_group() as tasks:
            for server in SERVERS:
                tasks.start_soon(self.start_side, server, 0)
        for server in SERVERS:
            await self._relay_side(stack, server)
        for entry in ENTRIES:
            relay = await _relay(stack, self.fleet.platform_url)
            self.platform_relays[entry] = relay
        async with anyio.create_task_group() as tasks:
            for entry in ENTRIES:
                tasks.start_soon(self.start_entry, entry)

    async def blocking(self, call: Callable[..., Any], *arguments: Any) -> Any:
        """Call something that blocks."""
        return await anyio.to_thread.run_sync(call, *arguments)

    async def start_side(self, server: str, port: int) -> None:
        """Start a side at a port, 0 for any."""
        relay = self.server_relays[server]
        start = partial(
            self.fleet.start_side,
            MODEL if server in ENGINES else SERVICE,
            server,
            f'http://{_IP}:{relay.port}',
            peer={'port': port},
        )
        await self.blocking(start)

    async def start_entry(self, entry: str) -> None:
        """Start an entry and wait until it is ready and linked."""
        relay = self.platform_relays[entry]
        start = partial(
            self.fleet.start_entry,
            entry,
            platform={
                'url': f'http://{_IP}:{relay.port}',
                'token': {'value': PLATFORM_TOKEN},
            },
            bounds={'wait_seconds': WAIT_SECONDS},
        )
        await self.blocking(start)
        await self.blocking(self.fleet.wait_ready, entry)
        self.down.discard(entry)

    async def all_linked(self) -> None:
        """Wait until every entry uses every side."""
        for entry in ENTRIES:
            await self.blocking(self.fleet.wait_linked, entry, len(SERVERS))

    def process(self, name: str) -> Process:
        """Look up a process in its present life."""
        return self.fleet.processes[name]

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.process(name)
        self.killed.add(process.pid)
        process.kill()

    def peer_port(self, name: str) -> int:
        """Tell where a daemon listens for peers."""
        address = str(self.process(name).ready['peer_address'])
        return int(address.rpartition(':')[2])

    def put_server_faults(self, server: str, faults: dict[str, Any]) -> None:
        """Replace a stand-in's faults."""
        answer = self.fleet.platform.call(
            'PUT',
            f'{self.server_urls[server]}/standin/faults',
            json.dumps(faults).encode(),
        )
        assert answer.status < 300, answer

    def executions(self, server: str) -> dict[str, dict[str, int]]:
        """Read the counts of a stand-in."""
        url = f'{self.server_urls[server]}/standin/executions'
        found: dict[str, dict[str, int]]
        found = self.fleet.platform.call('GET', url).json()
        return found

    def put_pools(self, slots: int) -> None:
        """Write both pools."""
        limits = {'slots_per_server': slots, 'max_run_seconds': _RUN_SECONDS}
        reads = [{'method': 'GET', 'path_prefix': '/'}]
        model = partial(self.fleet.model_pool, MODEL, MODEL, **limits)
        eventually(partial(_is_done, model))
        service = partial(self.fleet.service_pool, SERVICE, reads, **limits)
        eventually(partial(_is_done, service))

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

    async def _relay_side(self, stack: AsyncExitStack, server: str) -> None:
        name = f'side-{server}'
        relay = await _relay(stack, f'http://{_IP}:{self.peer_port(name)}')
        self.side_relays[server] = relay
        self.fleet.relays[name] = f'{_IP}:{relay.port}'
        listing = partial(
            self.fleet.list_instance,
            name,
            role='side',
            address='',
            pool=MODEL if server in ENGINES else SERVICE,
            backend_server=server,
        )
        await self.blocking(listing)


async def _relay(stack: AsyncExitStack, url: str) -> Relay:
    port = int(url.rpartition(':')[2])
    return await stack.enter_async_context(relaying(_IP, port))
