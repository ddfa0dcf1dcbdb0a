"""One seed of the run in virtual time."""

from __future__ import annotations

from contextlib import nullcontext
from functools import partial
from typing import Final

import anyio

from benchmarks.chaos.asked import Asked, draw
from benchmarks.chaos.referee import Received, Referee, Verdicts
from benchmarks.chaos.virtual.client import VirtualHttp, library_seams
from benchmarks.chaos.virtual.clock import run_virtually
from benchmarks.chaos.virtual.entry import EntryNode
from benchmarks.chaos.virtual.faults import FAULTS
from benchmarks.chaos.virtual.world import World
from sardinetrack.http.client import BrokenError, NotSentError, StreamedReply

RATE_PER_SECOND: Final = 40.0
_WARM_SECONDS: Final = 5.0
_SETTLE_SECONDS: Final = 60.0
_LONGEST_SECONDS: Final = 120.0
_RETRY_SECONDS: Final = 0.1
_RESEND_SECONDS: Final = 5.0
_AT_ONCE: Final = 0.3
"""Part of the copies that leave at the same instant."""
_FAULT_SECONDS: Final = (0.2, 5.0)
_CALM_SECONDS: Final = 0.3


class Run:
    """Sends requests, injects faults, judges."""

    def __init__(self, world: World, requests: int) -> None:
        """Prepare."""
        self._world = world
        self._requests = requests
        self._referee = Referee()
        self._http = VirtualHttp(world.network)
        self._open = 0
        self._all_told = anyio.Event()
        self._all_sent = False

    async def play(self) -> Verdicts:
        """Play the whole run."""
        await self._world.start()
        await anyio.sleep(_WARM_SECONDS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._disturb)
            await self._send_all()
            self._all_sent = True
            tasks.cancel_scope.cancel()
        await self._settle()
        verdicts = self._referee.judge(self._world.started())
        for text in self._world.left_behind():
            verdicts.note('leaked', text)
        return verdicts

    async def _send_all(self) -> None:
        number = 0
        random = self._world.random
        while number < self._requests:
            for asked in draw(random, number):
                seconds = random.random() * _RESEND_SECONDS
                if not asked.copy or random.random() < _AT_ONCE:
                    seconds = float(0)
                self._open += 1
                self._world.callers.start(self._caller, asked, seconds)
                number += 1
            await anyio.sleep(random.expovariate(RATE_PER_SECOND))

    async def _settle(self) -> None:
        if self._open:
            await self._all_told.wait()
        await anyio.sleep(_SETTLE_SECONDS)

    async def _caller(self, asked: Asked, after_seconds: float) -> None:
        await anyio.sleep(after_seconds)
        began = anyio.current_time()
        random = self._world.random
        leaves = None
        if random.random() < self._world.vanishing:
            leaves = anyio.move_on_after(random.expovariate(10))
        received = Received()
        with anyio.move_on_after(_LONGEST_SECONDS):
            with leaves or nullcontext():
                received = await self._submit(asked)
        if leaves is not None and leaves.cancelled_caught:
            received = Received(excused=True)
        self._open -= 1
        if self._all_sent and not self._open:
            self._all_told.set()
        waited = anyio.current_time() - began
        self._referee.told(asked, _after(received, waited))

    async def _submit(self, asked: Asked) -> Received:
        while True:
            entries = self._world.ready_entries()
            if entries:
                entry = self._world.random.choice(entries)
                try:
                    return await self._call(asked, entry)
                except NotSentError:
                    await anyio.sleep(_RETRY_SECONDS)
            else:
                await anyio.sleep(_RETRY_SECONDS)

    async def _call(self, asked: Asked, entry: EntryNode) -> Received:
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
        except BrokenError:
            return Received(excused=not entry.alive)

    async def _disturb(self) -> None:
        random = self._world.random
        while True:
            async with anyio.create_task_group() as tasks:
                for name in random.sample(sorted(FAULTS), 2):
                    self._referee.verdicts.faults[name] += 1
                    seconds = random.uniform(*_FAULT_SECONDS)
                    tasks.start_soon(self._one_fault, name, seconds)
            await anyio.sleep(random.expovariate(1 / _CALM_SECONDS))

    async def _one_fault(self, name: str, seconds: float) -> None:
        # Shielded: a fault that has begun also ends.
        with anyio.CancelScope(shield=True):
            await FAULTS[name](self._world, seconds)


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


def _after(received: Received, waited_seconds: float) -> Received:
    return Received(
        received.status,
        received.headers,
        received.body,
        whole=received.whole,
        excused=received.excused,
        waited_seconds=waited_seconds,
    )


async def _main(seed: int, requests: int) -> Verdicts:
    async with anyio.create_task_group() as tasks:
        world = World(seed, tasks)
        with library_seams(world.network):
            verdicts = await Run(world, requests).play()
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
