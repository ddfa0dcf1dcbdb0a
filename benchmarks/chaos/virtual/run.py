"""One seed of the run in virtual time."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Final

import anyio

from benchmarks.chaos.asked import Asked
from benchmarks.chaos.play import Fault, NotTakenError, Play
from benchmarks.chaos.referee import Received, Verdicts
from benchmarks.chaos.virtual.client import VirtualHttp, library_seams
from benchmarks.chaos.virtual.clock import run_virtually
from benchmarks.chaos.virtual.entry import EntryNode
from benchmarks.chaos.virtual.faults import FAULTS
from benchmarks.chaos.virtual.network import CURRENT
from benchmarks.chaos.virtual.world import World
from sardinetrack.http.client import BrokenError, NotSentError, StreamedReply

_WARM_SECONDS: Final = 5.0
_SETTLE_SECONDS: Final = 60.0


class VirtualPlay(Play):
    """The run on the fake fleet."""

    requests_per_second = 40.0

    def __init__(self, world: World, requests: int) -> None:
        """Prepare."""
        super().__init__(world.random, requests)
        self._world = world
        self._http = VirtualHttp(world.network)

    async def call(self, asked: Asked) -> Received:
        """Submit a request to an entry that is ready."""
        entries = self._world.ready_entries()
        if not entries:
            raise NotTakenError
        entry = self.random.choice(entries)
        call = partial(
            self._http.stream,
            asked.method,
            f'http://{entry.address}{asked.path}',
            headers=asked.headers,
            body=asked.body,
        )
        try:
            async with call() as reply:
                return await _read(reply, entry)
        except NotSentError as unsent:
            raise NotTakenError from unsent
        except BrokenError:
            return Received(excused=not entry.alive)

    def faults(self) -> Mapping[str, Fault]:
        """List what can go wrong."""
        found: dict[str, Fault] = {
            name: partial(fault, self._world) for name, fault in FAULTS.items()
        }
        return {**found, 'callers vanish': self.callers_vanish}

    async def settle(self) -> None:
        """Let everything time out."""
        await anyio.sleep(_SETTLE_SECONDS)

    async def started(self) -> Mapping[str, int]:
        """Count executions by key."""
        return self._world.started()

    async def left_behind(self) -> list[str]:
        """Look at the decisions' own books."""
        return self._world.left_behind()


async def _read(reply: StreamedReply, entry: EntryNode) -> Received:
    pieces: list[bytes] = []
    whole = True
    try:
        async for piece in reply.chunks():
            pieces.append(piece)
    except BrokenError:
        whole = False
    return Received(
        reply.status,
        dict(reply.headers),
        b''.join(pieces),
        whole=whole,
        excused=not entry.alive,
    )


async def _main(seed: int, requests: int) -> Verdicts:
    async with anyio.create_task_group() as tasks:
        world = World(seed, tasks)
        with library_seams(world.network):
            await world.start()
            await anyio.sleep(_WARM_SECONDS)
            CURRENT.set(world.callers)
            verdicts = await VirtualPlay(world, requests).play()
        tasks.cancel_scope.cancel()
    return verdicts


def run_seed(seed: int, requests: int) -> Verdicts:
    """Run one seed.

    :param seed: of everything drawn.
    :param requests: how many submissions, a few more for copies.
    :return: the figures.
    """
    verdicts: Verdicts = run_virtually(_main, seed, requests)
    return verdicts
