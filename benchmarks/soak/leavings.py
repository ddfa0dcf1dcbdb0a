"""Servers that leave beside trouble, and requests that reach them too late."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Mapping
from contextlib import ExitStack
from typing import TYPE_CHECKING

from benchmarks.soak.faults import Faults, lasting
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
_PAGE_SECONDS = 0.15
_LISTING_SECONDS = 2.0
_GAP_SECONDS = (4.0, 9.0)
"""Mostly longer than a process is not bound after trouble."""
FORMS = ('draining', 'removed')
TROUBLES = (
    'none',
    'sides cut',
    'sides cut by turns',
    'one side killed',
    'bytes lost',
    'watches lost',
    'watches lost, sides cut',
    'slow pages',
)


def late_requests(taken: Mapping[str, Cut], world: World) -> list[str]:
    """Describe the requests that reached a leaving server too late.

    Counted are those of entries that were undisturbed, with the store and
    their path there, when they took and when they sent the request.

    :param taken: each request, by its id.
    """
    entries = {entry.ip: entry.disturbances for entry in world.entries}
    late: list[str] = []
    for server, name, delay_seconds in _late_arrivals(world):
        request = taken.get(name)
        if request is None:
            continue
        entry = entries[request.entry]
        sent_seconds = server.record.arrivals[name]
        if entry.in_touch(request.began_seconds) and entry.in_touch(
            sent_seconds
        ):
            late.append(
                f'{name} from {request.entry} reached {server.ip}'
                f' {delay_seconds:.2f} s after its leaving was accepted',
            )
    return late


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
        self._troubles = (trouble,) if trouble else TROUBLES
        self._kinds = (self._leave_beside_trouble,)

    async def _leave_beside_trouble(self) -> None:
        """Let a server of each pool leave while something else is wrong."""
        trouble = self._rng.choice(self._troubles)
        self.done[-1] = trouble
        world = self._world
        plain = [one for one in world.servers if one.pool == 'plain']
        chosen = [self._rng.choice(one) for one in (plain, world.engines)]
        leaving = [one for one in chosen if not one.restart_lock.locked()]
        async with asyncio.TaskGroup() as group:
            group.create_task(self._disturb(trouble))
            for server in leaving:
                group.create_task(self._leave(server))

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

    async def _disturb(self, trouble: str) -> None:
        match trouble:
            case 'sides cut':
                await self._cut_sides(_CUT_SECONDS)
            case 'sides cut by turns':
                for _ in range(_FLAPS):
                    await self._cut_sides(_FLAP_SECONDS)
                    await asyncio.sleep(_FLAP_SECONDS)
            case 'one side killed':
                await self._kill_side()
            case 'bytes lost':
                await self._lose_bytes()
            case 'watches lost':
                self._lose_watches()
            case 'watches lost, sides cut':
                self._lose_watches()
                await self._cut_sides(_CUT_SECONDS)
            case 'slow pages':
                await self._list_slowly()

    async def _cut_sides(self, seconds: float) -> None:
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
        with ExitStack() as stack:
            stack.enter_context(lasting(world.store.disturbances.store))
            for process in processes:
                stack.enter_context(lasting(process.disturbances.store))
                process.store_proxy.drop(Direction.TO_CALLER)
            await asyncio.sleep(_LOST_SECONDS)
            for lossy in processes:
                lossy.store_proxy.stop_dropping()

    def _lose_watches(self) -> None:
        """Lose the responses to the watches that wait; the next ones come."""
        world = self._world
        with ExitStack() as stack:
            stack.enter_context(lasting(world.store.disturbances.store))
            for process in (*world.entries, *world.sides):
                stack.enter_context(lasting(process.disturbances.store))
            world.store.lose_watches()

    async def _list_slowly(self) -> None:
        """Let all list in pages that come slowly, while servers leave."""
        store = self._world.store
        store.page_seconds = _PAGE_SECONDS
        store.compact()
        await asyncio.sleep(_LISTING_SECONDS)
        store.page_seconds = 0
