"""One seed of the run across processes."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import AsyncExitStack
from functools import partial
from typing import Any, Final

import anyio
import httpcore

from benchmarks.chaos.asked import Asked
from benchmarks.chaos.play import LONGEST_SECONDS, Fault, NotTakenError, Play
from benchmarks.chaos.processes.faults import FAULTS
from benchmarks.chaos.processes.world import (
    ENTRIES,
    SERVERS,
    SLOTS,
    RelayedFleet,
    World,
)
from benchmarks.chaos.referee import Received, Verdicts

_KEPT_SECONDS: Final = 5.0
_CONNECT_SECONDS: Final = 2.0
_REST_SECONDS: Final = 15.0
_NOT_SENT: Final = (httpcore.ConnectError, httpcore.ConnectTimeout)
_BROKEN: Final = (httpcore.NetworkError, httpcore.ProtocolError)


class RealPlay(Play):
    """The run on the real fleet; callers keep and share connections."""

    requests_per_second = 25.0

    def __init__(
        self,
        world: World,
        requests: int,
        pool: httpcore.AsyncConnectionPool,
    ) -> None:
        """Prepare."""
        super().__init__(world.random, requests)
        self._world = world
        self._pool = pool

    async def call(self, asked: Asked) -> Received:
        """Submit a request to an entry that the balancer offers."""
        offered = [name for name in ENTRIES if name not in self._world.down]
        if not offered:
            raise NotTakenError
        entry = self.random.choice(offered)
        pid = self._world.process(entry).pid
        url = self._world.fleet.url(entry)
        call = partial(
            self._pool.stream,
            asked.method,
            f'{url}{asked.path}',
            headers=asked.headers,
            content=asked.body,
            extensions={'timeout': _timeout()},
        )
        try:
            async with call() as response:
                return await self._read(response, pid)
        except _NOT_SENT as unsent:
            raise NotTakenError from unsent
        except _BROKEN:
            return Received(excused=pid in self._world.killed)

    def faults(self) -> Mapping[str, Fault]:
        """List what can go wrong."""
        found: dict[str, Fault] = {
            name: partial(fault, self._world) for name, fault in FAULTS.items()
        }
        return {**found, 'callers vanish': self.callers_vanish}

    async def settle(self) -> None:
        """Wait until every side is in use again, then a while longer."""
        await self._world.all_linked()
        await anyio.sleep(_REST_SECONDS)

    async def started(self) -> Mapping[str, int]:
        """Ask all stand-ins."""
        counts: dict[str, int] = {}
        for server in SERVERS:
            found = await self._world.blocking(self._world.executions, server)
            for key, own in found.items():
                counts[key] = counts.get(key, 0) + own['started']
        return counts

    async def left_behind(self) -> list[str]:
        """Ask all daemons."""
        return [
            *await self._world.blocking(_held_by_entries, self._world),
            *await self._world.blocking(_held_by_sides, self._world),
        ]

    async def _read(self, response: httpcore.Response, pid: int) -> Received:
        pieces: list[bytes] = []
        whole = True
        try:
            async for piece in response.aiter_stream():
                pieces.append(piece)
        except _BROKEN:
            whole = False
        return Received(
            response.status,
            {
                key.decode().lower(): text.decode('latin-1')
                for key, text in response.headers
            },
            b''.join(pieces),
            whole=whole,
            excused=pid in self._world.killed,
        )


def _timeout() -> dict[str, float]:
    longest = 2 * LONGEST_SECONDS
    return {
        'connect': _CONNECT_SECONDS,
        'read': longest,
        'write': longest,
        'pool': longest,
    }


def _status(world: World, name: str) -> Any:
    return world.fleet.operator(name, '/status').json()


def _held_by_entries(world: World) -> list[str]:
    found = []
    for entry in ENTRIES:
        status = _status(world, entry)
        held = [
            pool['pool']
            for pool in status['pools']
            if pool['waiting'] or pool['running']
        ]
        if held or status['open_requests']:
            found.append(f'{entry} holds requests of {held}')
    return found


def _held_by_sides(world: World) -> list[str]:
    found = []
    for server in SERVERS:
        load = _status(world, f'side-{server}')['load']
        if load['running'] or load['free'] != SLOTS:
            found.append(' '.join((server, repr(load))))
    return found


async def _main(seed: int, requests: int) -> Verdicts:
    async with AsyncExitStack() as stack:
        fleet = stack.enter_context(RelayedFleet())
        world = World(seed, fleet)
        await world.start(stack)
        await world.all_linked()
        pool = await stack.enter_async_context(
            httpcore.AsyncConnectionPool(
                max_connections=None,
                keepalive_expiry=_KEPT_SECONDS,
            ),
        )
        return await RealPlay(world, requests, pool).play()


def run_seed(seed: int, requests: int) -> Verdicts:
    """Run one seed.

    :param seed: of everything drawn.
    :param requests: how many submissions, a few more for copies.
    :return: the figures.
    """
    try:
        return anyio.run(_main, seed, requests)
    except BaseExceptionGroup as group:
        raise _first_cause(group) from None


def _first_cause(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
