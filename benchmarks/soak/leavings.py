"""Servers that leave beside trouble, and requests that reach them too late."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Mapping
from contextlib import ExitStack
from typing import TYPE_CHECKING

from benchmarks.soak.faults import Faults, disturbed_store, lasting
from benchmarks.soak.losses import DRAIN_SECONDS
from sardinetrack.standin.tcp_proxy import Direction

if TYPE_CHECKING:
    from benchmarks.soak.engine import SoakServer
    from benchmarks.soak.losses import Cut
    from benchmarks.soak.world import Process, World

_SERVES_SECONDS = 7.0
"""How long a leaving server serves: the bound and some seconds more."""
_LOST_SECONDS = 0.3
_CUT_SECONDS = 4.0
_FLAP_SECONDS = 0.6
_FLAPS = 3
_LEAVE_IN_TURN_SECONDS = 2.5
_PAUSE_SECONDS = 1.2
_OUTAGE_SECONDS = 5.0
_RELIST_SECONDS = 0.4
_RETURN_SECONDS = 0.7
"""How long the store responds between two outages."""
_PAGE_SECONDS = 0.15
_LISTING_SECONDS = 2.0
_GAP_SECONDS = (4.0, 9.0)
"""Mostly longer than a process is not bound after trouble."""
FORMS = ('draining', 'removed')


def late_requests(
    taken: Mapping[str, Cut], world: World
) -> tuple[Counter[str], list[str]]:
    """Judge the requests that reached a leaving server too late.

    An entry is bound if it was undisturbed, with the store and its path there,
    when it took and when it sent the request.

    :param taken: each request, by its id.
    :return: number of requests by whether their entry was bound, and those of
        entries that were.
    """
    entries = {entry.ip: entry.disturbances for entry in world.entries}
    counts: Counter[str] = Counter()
    late: list[str] = []
    for server, name, delay_seconds in _late_arrivals(world):
        request = taken.get(name)
        if request is None:
            continue
        moments = (request.began_seconds, server.record.arrivals[name])
        if not all(map(entries[request.entry].in_touch, moments)):
            counts['disturbed'] += 1
            continue
        counts['bound'] += 1
        late.append(
            f'{name} from {request.entry} reached {server.ip}'
            f' {delay_seconds:.2f} s after its leaving was accepted',
        )
    return counts, late


def _late_arrivals(world: World) -> list[tuple[SoakServer, str, float]]:
    """List requests at servers whose leaving was accepted too long ago."""
    accepted = [
        (server, leaving)
        for server in world.servers
        for leaving in server.record.leavings
        if not world.store.disturbances.disturbed(leaving.began_seconds)
    ]
    return [
        (server, name, at - leaving.began_seconds)
        for server, leaving in accepted
        for name, at in server.record.arrivals.items()
        if leaving.began_seconds + DRAIN_SECONDS < at < leaving.ended_seconds
    ]


class Leavings(Faults):
    """Lets servers leave beside trouble of the store and of paths to it."""

    def __init__(self, world: World, seed: int, trouble: str = '') -> None:
        """Build an injector that draws apart from the others.

        :param trouble: the only one; drawn each time by default.
        """
        super().__init__(world, f'{seed} leavings')
        self._gap_seconds = _GAP_SECONDS
        self._kinds = (self._leave_beside_trouble,)
        self._disturb = {
            'none': _do_nothing,
            'sides cut': self._cut_sides,
            'sides cut by turns': self._cut_by_turns,
            'one side killed': self._kill_side,
            'bytes lost': self._lose_bytes,
            'watches lost': self._lose_watches,
            'watches lost, sides cut': self._lose_and_cut,
            'slow pages': self._list_slowly,
            'all leave': self._leave_in_turn,
            'store throttles': self._throttle,
            'entries paused': self._pause_entries,
            'records expire': self._expire_records,
            'records expire, store fails again': self._expire_and_fail,
        }
        self._troubles = (trouble,) if trouble else tuple(self._disturb)

    async def _leave_beside_trouble(self) -> None:
        """Let a server of each pool leave while something else is wrong."""
        trouble = self._rng.choice(self._troubles)
        self.done[-1] = trouble
        world = self._world
        plain = [one for one in world.servers if one.pool == 'plain']
        chosen = [self._rng.choice(one) for one in (plain, world.engines)]
        leaving = [one for one in chosen if not one.restart_lock.locked()]
        async with asyncio.TaskGroup() as group:
            group.create_task(self._disturb[trouble]())
            for server in leaving:
                group.create_task(self._leave(server))

    async def _leave_in_turn(self) -> None:
        """Let the engines leave one after the other, as in a release."""
        async with asyncio.TaskGroup() as group:
            for engine in self._world.engines:
                if not engine.restart_lock.locked():
                    group.create_task(self._leave(engine))
                await asyncio.sleep(_LEAVE_IN_TURN_SECONDS)

    async def _leave(self, server: SoakServer) -> None:
        async with server.restart_lock:
            server.notices.leaving = False
            await asyncio.sleep(self._rng.uniform(0, 0.5))
            if self._rng.choice(FORMS) == 'draining':
                self._world.list_server(server, 'draining')
            else:
                self._world.store.drop('servers', server.instance)
            server.leave()
            await asyncio.sleep(_SERVES_SECONDS)
            await self._crash(server, 0)

    async def _cut_by_turns(self) -> None:
        for _ in range(_FLAPS):
            await self._cut_sides(_FLAP_SECONDS)
            await asyncio.sleep(_FLAP_SECONDS)

    async def _cut_sides(self, seconds: float = _CUT_SECONDS) -> None:
        """Refuse the sides' connections to the store, and no others."""
        sides = self._world.sides
        with ExitStack() as stack:
            for side in sides:
                stack.enter_context(lasting(side.disturbances.store))
                await side.store_proxy.cut()
            await asyncio.sleep(seconds)
            for side in sides:
                await side.store_proxy.restore()

    async def _kill_side(self) -> None:
        side = self._rng.choice(self._world.sides)
        with lasting(side.disturbances.unplanned):
            side.send(signal.SIGKILL)

    async def _lose_bytes(self) -> None:
        """Lose what the store sends to anyone; the connections stay open."""
        world = self._world
        processes: list[Process] = [*world.entries, *world.sides]
        with disturbed_store(world):
            for process in processes:
                process.store_proxy.drop(Direction.TO_CALLER)
            await asyncio.sleep(_LOST_SECONDS)
            for lossy in processes:
                lossy.store_proxy.stop_dropping()

    async def _lose_and_cut(self) -> None:
        await self._lose_watches()
        await self._cut_sides()

    async def _lose_watches(self) -> None:
        """Lose the responses to the watches that wait; the next ones come."""
        world = self._world
        with disturbed_store(world):
            world.store.lose_watches()

    async def _throttle(self) -> None:
        """Let the store refuse all calls for their number."""
        world = self._world
        with disturbed_store(world):
            world.store.fault = 'many'
            world.store.compact()
            await asyncio.sleep(_PAUSE_SECONDS)
            world.store.fault = ''

    async def _pause_entries(self) -> None:
        """Suspend all entries for a moment, with what they were about to do."""
        entries = self._world.entries
        with ExitStack() as stack:
            for entry in entries:
                stack.enter_context(lasting(entry.disturbances.unplanned))
                entry.send(signal.SIGSTOP)
            await asyncio.sleep(_PAUSE_SECONDS)
            for paused in entries:
                paused.send(signal.SIGCONT)

    async def _expire_records(self) -> None:
        """Let all records expire in an outage; most are back after it."""
        await self._lose_records()
        await self._list_again()

    async def _expire_and_fail(self) -> None:
        """Let the store fail again before a server is listed again."""
        await self._lose_records()
        await asyncio.sleep(_RETURN_SECONDS)
        await self._lose_records()
        await self._list_again()

    async def _lose_records(self) -> None:
        world = self._world
        with disturbed_store(world):
            world.store.fault = 'busy'
            await asyncio.sleep(_OUTAGE_SECONDS)
            for server in world.servers:
                world.store.drop('servers', server.instance)
            world.store.fault = ''

    async def _list_again(self) -> None:
        world = self._world
        for running in world.servers:
            await asyncio.sleep(self._rng.uniform(0, _RELIST_SECONDS))
            if not running.restart_lock.locked():
                world.list_server(running)

    async def _list_slowly(self) -> None:
        """Let all list in pages that come slowly, while servers leave."""
        store = self._world.store
        store.page_seconds = _PAGE_SECONDS
        store.compact()
        await asyncio.sleep(_LISTING_SECONDS)
        store.page_seconds = 0


async def _do_nothing() -> None:
    """Let servers leave without trouble."""
