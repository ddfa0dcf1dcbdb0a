"""One seed of the run with real processes."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import AsyncExitStack
from functools import partial
from typing import Any, Final

import anyio
import httpcore

from benchmarks.chaos.base import (
    MAX_RESPONSE_SECONDS,
    ChaosRun,
    Fault,
    NotAcceptedError,
)
from benchmarks.chaos.checker import Received, Verdicts
from benchmarks.chaos.processes.faults import FAULTS
from benchmarks.chaos.processes.world import (
    ENTRIES,
    SERVERS,
    SLOTS,
    ProxiedFleet,
    World,
)
from benchmarks.chaos.submission import Submission

_KEEP_ALIVE_SECONDS: Final = 5.0
_CONNECT_SECONDS: Final = 2.0
_SETTLE_SECONDS: Final = 15.0
_NOT_SENT: Final = (httpcore.ConnectError, httpcore.ConnectTimeout)
_INTERRUPTED: Final = (httpcore.NetworkError, httpcore.ProtocolError)


class ProcessRun(ChaosRun):
    """The run on real processes; callers share keep-alive connections."""

    requests_per_second = 25.0

    def __init__(
        self,
        world: World,
        requests: int,
        pool: httpcore.AsyncConnectionPool,
    ) -> None:
        """Build a run.

        :param requests: number of submissions; copies may exceed it slightly.
        :param pool: the callers' connections.
        """
        super().__init__(world.random, requests)
        self._world = world
        self._pool = pool

    async def call(self, submission: Submission) -> Received:
        """Submit a request to an entry that is in service."""
        available = [
            name for name in ENTRIES if name not in self._world.out_of_service
        ]
        if not available:
            raise NotAcceptedError
        entry = self.random.choice(available)
        pid = self._world.process(entry).pid
        url = self._world.fleet.url(entry)
        call = partial(
            self._pool.stream,
            submission.method,
            f'{url}{submission.path}',
            headers=submission.headers,
            content=submission.body,
            extensions={'timeout': _timeout()},
        )
        try:
            async with call() as response:
                return await self._read(response, pid)
        except _NOT_SENT as unsent:
            raise NotAcceptedError from unsent
        except _INTERRUPTED:
            return Received(excused=pid in self._world.killed)

    def faults(self) -> Mapping[str, Fault]:
        """Return the faults by name."""
        found: dict[str, Fault] = {
            name: partial(fault, self._world) for name, fault in FAULTS.items()
        }
        return {**found, 'callers vanish': self.callers_disconnect}

    async def settle(self) -> None:
        """Wait until every entry uses every side, then some more time."""
        await self._world.wait_all_linked()
        await anyio.sleep(_SETTLE_SECONDS)

    async def execution_counts(self) -> Mapping[str, int]:
        """Query all stand-ins."""
        counts: dict[str, int] = {}
        for server in SERVERS:
            found = await self._world.blocking(self._world.executions, server)
            for key, own in found.items():
                counts[key] = counts.get(key, 0) + own['started']
        return counts

    async def leaks(self) -> list[str]:
        """Query all daemons."""
        return [
            *await self._world.blocking(_entry_leaks, self._world),
            *await self._world.blocking(_side_leaks, self._world),
        ]

    async def _read(self, response: httpcore.Response, pid: int) -> Received:
        body_chunks: list[bytes] = []
        complete = True
        try:
            async for chunk in response.aiter_stream():
                body_chunks.append(chunk)
        except _INTERRUPTED:
            complete = False
        return Received(
            response.status,
            {
                key.decode().lower(): text.decode('latin-1')
                for key, text in response.headers
            },
            b''.join(body_chunks),
            complete=complete,
            excused=pid in self._world.killed,
        )


def _timeout() -> dict[str, float]:
    max_seconds = 2 * MAX_RESPONSE_SECONDS
    return {
        'connect': _CONNECT_SECONDS,
        'read': max_seconds,
        'write': max_seconds,
        'pool': max_seconds,
    }


def _status(world: World, name: str) -> Any:
    return world.fleet.operator(name, '/status').json()


def _entry_leaks(world: World) -> list[str]:
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


def _side_leaks(world: World) -> list[str]:
    found = []
    for server in SERVERS:
        load = _status(world, f'side-{server}')['load']
        if load['running'] or load['free'] != SLOTS:
            found.append(' '.join((server, repr(load))))
    return found


async def _main(seed: int, requests: int) -> Verdicts:
    async with AsyncExitStack() as stack:
        fleet = stack.enter_context(ProxiedFleet())
        world = World(seed, fleet)
        await world.start(stack)
        await world.wait_all_linked()
        pool = await stack.enter_async_context(
            httpcore.AsyncConnectionPool(
                max_connections=None,
                keepalive_expiry=_KEEP_ALIVE_SECONDS,
            ),
        )
        return await ProcessRun(world, requests, pool).run()


def run_seed(seed: int, requests: int) -> Verdicts:
    """Run one seed.

    :param seed: seed of everything drawn.
    :param requests: number of submissions; copies may exceed it slightly.
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
