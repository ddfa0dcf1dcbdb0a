"""Faults of the fake fleet; each lasts as long as its coroutine."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from types import MappingProxyType
from typing import Final

import anyio

from benchmarks.chaos.virtual.catalogue import SLOTS
from benchmarks.chaos.virtual.platform import ADDRESS
from benchmarks.chaos.virtual.world import World

Fault = Callable[[World, float], Awaitable[None]]

_DELAY_SECONDS: Final = 0.3
_LATE_FRACTION: Final = 0.1


async def entry_restarts(world: World, seconds: float) -> None:
    """Kill an entry; the next one starts with no state."""
    address = world.random.choice(list(world.entries))
    previous = world.entries[address]
    previous.kill()
    await anyio.sleep(seconds)
    world.start_entry(address, previous.name)


async def side_restarts(world: World, seconds: float) -> None:
    """Kill a side; the next one starts with no state."""
    address = world.random.choice(list(world.sides))
    previous = world.sides[address]
    previous.kill()
    await anyio.sleep(seconds / 2)
    world.start_side(address, previous)


async def server_crashes(world: World, seconds: float) -> None:
    """Crash a backend server."""
    address = world.random.choice(list(world.servers))
    world.servers[address].kill()
    await anyio.sleep(seconds / 2)
    world.start_server(address)


async def link_cut(world: World, seconds: float) -> None:
    """Reset the connections of an entry and a side, and refuse new ones."""
    entry = world.random.choice(list(world.entries))
    side = world.random.choice(list(world.sides))
    await _disconnect(world, entry, side, seconds)


async def server_cut(world: World, seconds: float) -> None:
    """Reset the connections of a side and its server, and refuse new ones."""
    side = world.random.choice(list(world.sides))
    await _disconnect(world, side, world.sides[side].backend, seconds)


async def _disconnect(
    world: World, one: str, other: str, seconds: float
) -> None:
    ends = frozenset((one, other))
    world.network.refused.add(ends)
    world.network.reset(one, other)
    await anyio.sleep(seconds)
    world.network.refused.discard(ends)


async def partition(world: World, seconds: float) -> None:
    """Withhold all bytes between two random groups of nodes."""
    partition_groups = world.network.partition_groups
    for address in (*world.entries, *world.sides, ADDRESS):
        partition_groups[address] = world.random.randint(0, 1)
    for address, side in world.sides.items():
        partition_groups[side.backend] = partition_groups[address]
    await anyio.sleep(seconds)
    partition_groups.clear()
    world.network.release()


async def frozen(world: World, seconds: float) -> None:
    """Withhold all bytes of a side, a server or an entry."""
    names = (*world.entries, *world.sides, *world.servers)
    address = world.random.choice(names)
    world.network.frozen.add(address)
    await anyio.sleep(seconds)
    world.network.frozen.discard(address)
    world.network.release()


async def delay(world: World, seconds: float) -> None:
    """Delay all bytes."""
    world.network.added_seconds = _DELAY_SECONDS
    await anyio.sleep(seconds)
    world.network.added_seconds = 0


async def loss(world: World, seconds: float) -> None:
    """Lose packets, which are retransmitted."""
    world.network.loss = True
    await anyio.sleep(seconds)
    world.network.loss = False


async def late_run_requests(world: World, seconds: float) -> None:
    """Let some run requests arrive late, and some of these twice."""
    world.network.late_fraction = _LATE_FRACTION
    await anyio.sleep(seconds)
    world.network.late_fraction = 0


async def catalogue_edits(world: World, seconds: float) -> None:
    """Change a weight and the slots, and change them back."""
    await world.catalogue.put_workspace('fleet', 3)
    await world.catalogue.put_pools(SLOTS // 2)
    await anyio.sleep(seconds)
    await world.catalogue.put_pools(SLOTS)
    await world.catalogue.put_workspace('fleet', 1)


async def platform(name: str, world: World, seconds: float) -> None:
    """Inject one fault into the platform."""
    setattr(world.platform_faults, name, True)
    await anyio.sleep(seconds)
    setattr(world.platform_faults, name, False)


FAULTS: Final[MappingProxyType[str, Fault]] = MappingProxyType(
    {
        'entry restarts': entry_restarts,
        'side restarts': side_restarts,
        'server crashes': server_crashes,
        'link cut': link_cut,
        'server link cut': server_cut,
        'partition': partition,
        'frozen': frozen,
        'delay': delay,
        'loss': loss,
        'late orders': late_run_requests,
        'catalogue edits': catalogue_edits,
        'platform outage': partial(platform, 'outage'),
        'platform loses replies': partial(platform, 'lose_replies'),
        'platform writes late': partial(platform, 'late_writes'),
        'platform throttles': partial(platform, 'throttle'),
    },
)
