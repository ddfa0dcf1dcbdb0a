"""One seed of the run in virtual time."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Final

import anyio

from benchmarks.chaos.base import ChaosRun, Fault, NotAcceptedError
from benchmarks.chaos.checker import Received, Verdicts
from benchmarks.chaos.submission import Submission
from benchmarks.chaos.virtual.client import VirtualHttp, patch_libraries
from benchmarks.chaos.virtual.clock import run_virtually
from benchmarks.chaos.virtual.entry import EntryNode
from benchmarks.chaos.virtual.faults import FAULTS
from benchmarks.chaos.virtual.network import CURRENT
from benchmarks.chaos.virtual.world import World
from sardinetrack.http.client import (
    ConnectionBrokenError,
    RequestNotSentError,
    StreamedResponse,
)

_WARM_UP_SECONDS: Final = 5.0
_SETTLE_SECONDS: Final = 60.0


class VirtualRun(ChaosRun):
    """The run on the fake fleet."""

    requests_per_second = 40.0

    def __init__(self, world: World, requests: int) -> None:
        """Build a run.

        :param requests: number of submissions; copies may exceed it slightly.
        """
        super().__init__(world.random, requests)
        self._world = world
        self._http = VirtualHttp(world.network)

    async def call(self, submission: Submission) -> Received:
        """Submit a request to an entry that is ready."""
        entries = self._world.ready_entries()
        if not entries:
            raise NotAcceptedError
        entry = self.random.choice(entries)
        call = partial(
            self._http.stream,
            submission.method,
            f'http://{entry.address}{submission.path}',
            headers=submission.headers,
            body=submission.body,
        )
        try:
            async with call() as response:
                return await _read(response, entry)
        except RequestNotSentError as unsent:
            raise NotAcceptedError from unsent
        except ConnectionBrokenError:
            return Received(excused=not entry.is_running)

    def faults(self) -> Mapping[str, Fault]:
        """Return the faults by name."""
        found: dict[str, Fault] = {
            name: partial(fault, self._world) for name, fault in FAULTS.items()
        }
        return {**found, 'callers vanish': self.callers_disconnect}

    async def settle(self) -> None:
        """Wait until every timeout has passed."""
        await anyio.sleep(_SETTLE_SECONDS)

    async def execution_counts(self) -> Mapping[str, int]:
        """Return the number of executions by key."""
        return self._world.execution_counts()

    async def leaks(self) -> list[str]:
        """Describe what the daemons still hold for requests."""
        return self._world.leaks()


async def _read(response: StreamedResponse, entry: EntryNode) -> Received:
    body_chunks: list[bytes] = []
    complete = True
    try:
        async for chunk in response.chunks():
            body_chunks.append(chunk)
    except ConnectionBrokenError:
        complete = False
    return Received(
        response.status,
        dict(response.headers),
        b''.join(body_chunks),
        complete=complete,
        excused=not entry.is_running,
    )


async def _main(seed: int, requests: int) -> Verdicts:
    async with anyio.create_task_group() as tasks:
        world = World(seed, tasks)
        with patch_libraries(world.network):
            await world.start()
            await anyio.sleep(_WARM_UP_SECONDS)
            CURRENT.set(world.callers)
            verdicts = await VirtualRun(world, requests).run()
        tasks.cancel_scope.cancel()
    return verdicts


def run_seed(seed: int, requests: int) -> Verdicts:
    """Run one seed.

    :param seed: seed of everything drawn.
    :param requests: number of submissions; copies may exceed it slightly.
    :return: the figures.
    """
    verdicts: Verdicts = run_virtually(_main, seed, requests)
    return verdicts
