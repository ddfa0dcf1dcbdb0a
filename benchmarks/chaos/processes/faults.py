"""Faults of the fleet of processes; each lasts as long as its coroutine."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from functools import partial
from types import MappingProxyType
from typing import Any, Final

import anyio
import httpcore

from benchmarks.chaos.processes.world import (
    ENTRIES,
    SERVERS,
    SLOTS,
    World,
)
from benchmarks.chaos.submission import MODEL
from sardinetrack.standin.tcp_proxy import TcpProxy

Fault = Callable[[World, float], Awaitable[None]]

_SIDES: Final = tuple(f'side-{server}' for server in SERVERS)
_CRASH: Final = 'crash-now'
_INTERRUPTED: Final = (httpcore.NetworkError, httpcore.ProtocolError)
_DELAY_SECONDS: Final = 0.3


@contextmanager
def _one_of(world: World, names: Sequence[str]) -> Iterator[str]:
    """Choose a process that no other fault affects."""
    free = [name for name in names if name not in world.under_fault]
    name = world.random.choice(free)
    world.under_fault.add(name)
    try:
        yield name
    finally:
        world.under_fault.discard(name)


async def entry_killed(world: World, seconds: float) -> None:
    """Kill an entry; the next one starts with no state."""
    with _one_of(world, ENTRIES) as entry:
        world.out_of_service.add(entry)
        world.kill(entry)
        await anyio.sleep(seconds / 2)
        await world.start_entry(entry)


async def side_killed(world: World, seconds: float) -> None:
    """Kill a side; the next one starts with no state at the same address."""
    with _one_of(world, _SIDES) as side:
        port = world.peer_port(side)
        world.kill(side)
        await anyio.sleep(seconds / 2)
        await world.start_side(side.removeprefix('side-'), port)


async def suspended(world: World, seconds: float) -> None:
    """Suspend an entry, a side or a backend server."""
    with _one_of(world, (*ENTRIES, *_SIDES, *SERVERS)) as name:
        process = world.process(name)
        process.freeze()
        await anyio.sleep(seconds)
        process.thaw()


async def platform_suspended(world: World, seconds: float) -> None:
    """Suspend the platform."""
    process = world.process('platform')
    process.freeze()
    await anyio.sleep(seconds)
    process.thaw()


async def server_crashes(world: World, seconds: float) -> None:
    """Crash a stand-in inside its process, which keeps its counts."""
    with _one_of(world, SERVERS) as server:
        faults = {'crash_marker': _CRASH, 'restart_seconds': seconds / 2}
        await world.blocking(world.put_server_faults, server, faults)
        await world.blocking(_crash, world, server)
        await anyio.sleep(seconds)
        await world.blocking(world.put_server_faults, server, {})


def _crash(world: World, server: str) -> None:
    message = {'role': 'user', 'content': f'id=crash {_CRASH}'}
    content = {'model': MODEL, 'key': 'crash', 'messages': [message]}
    url = f'{world.server_urls[server]}/v1/chat/completions'
    with suppress(*_INTERRUPTED):
        world.fleet.platform.call('POST', url, json.dumps(content).encode())


async def server_frozen(world: World, seconds: float) -> None:
    """Let a stand-in accept requests and respond to none."""
    with _one_of(world, SERVERS) as server:
        await world.blocking(
            world.put_server_faults,
            server,
            {'frozen': True},
        )
        await anyio.sleep(seconds)
        await world.blocking(world.put_server_faults, server, {})


def _proxies(world: World) -> list[TcpProxy]:
    return [
        *world.side_proxies.values(),
        *world.server_proxies.values(),
        *world.platform_proxies.values(),
    ]


async def link_cut(world: World, seconds: float) -> None:
    """Close all connections of a link, and refuse new ones."""
    proxy = world.random.choice(_proxies(world))
    await proxy.cut()
    await anyio.sleep(seconds)
    await proxy.restore()


async def link_reset(world: World, seconds: float) -> None:
    """Close all connections of a random side's link, repeatedly."""
    until = anyio.current_time() + seconds
    while anyio.current_time() < until:
        proxy = world.random.choice(list(world.side_proxies.values()))
        await proxy.cut()
        await proxy.restore()
        await anyio.sleep(seconds / 10)


async def link_frozen(world: World, seconds: float) -> None:
    """Withhold all bytes of some links."""
    proxies = world.random.sample(_proxies(world), 5)
    for proxy in proxies:
        proxy.freeze()
    await anyio.sleep(seconds)
    for proxy in proxies:
        proxy.thaw()


async def delay(world: World, seconds: float) -> None:
    """Delay all bytes of all links."""
    for proxy in _proxies(world):
        proxy.delay_seconds = _DELAY_SECONDS * world.random.random()
    await anyio.sleep(seconds)
    for proxy in _proxies(world):
        proxy.delay_seconds = 0


async def catalogue_edits(world: World, seconds: float) -> None:
    """Change the number of slots, and change it back."""
    await world.blocking(world.put_pools, SLOTS // 2)
    await anyio.sleep(seconds)
    await world.blocking(world.put_pools, SLOTS)


async def _platform(
    faults: dict[str, Any],
    world: World,
    seconds: float,
) -> None:
    """Inject faults into the platform."""
    await world.blocking(partial(world.fleet.faults, **faults))
    await anyio.sleep(seconds)
    await world.blocking(world.fleet.faults)


FAULTS: Final[MappingProxyType[str, Fault]] = MappingProxyType(
    {
        'entry killed': entry_killed,
        'side killed': side_killed,
        'paused': suspended,
        'platform paused': platform_suspended,
        'server crashes': server_crashes,
        'server frozen': server_frozen,
        'link cut': link_cut,
        'links reset': link_reset,
        'links frozen': link_frozen,
        'delay': delay,
        'catalogue edits': catalogue_edits,
        'platform outage': partial(_platform, {'outage': True}),
        'platform loses replies': partial(_platform, {'lose_replies': 10}),
        'platform throttles': partial(
            _platform,
            {'reads_per_second': 5, 'writes_per_second': 2},
        ),
        'platform delays': partial(_platform, {'delay_seconds': 1.5}),
    },
)
