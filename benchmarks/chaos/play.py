"""What both levels of the run share: callers, and pairs of faults."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from contextlib import nullcontext
from dataclasses import replace
from random import Random
from typing import Final

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.asked import Asked, draw
from benchmarks.chaos.referee import Received, Referee, Verdicts

LONGEST_SECONDS: Final = 120.0
"""After it a caller takes its answer for lost."""
_RETRY_SECONDS: Final = 0.1
_RESEND_SECONDS: Final = 5.0
_AT_ONCE: Final = 0.3
"""Part of the copies that leave at the same instant."""
_FAULT_SECONDS: Final = (0.2, 5.0)
_CALM_SECONDS: Final = 0.3
_LEAVES_PER_SECOND: Final = 10

Fault = Callable[[float], Awaitable[None]]


class NotTakenError(Exception):
    """No entry took the request: not one byte left."""


class Play(ABC):
    """Sends requests, injects pairs of faults, judges at the end."""

    requests_per_second: float

    def __init__(self, random: Random, requests: int) -> None:
        """Prepare.

        :param requests: how many submissions, a few more for copies.
        """
        self.random = random
        self.vanishing = float(0)
        """Part of the callers that leave early."""
        self._requests = requests
        self._referee = Referee()

    @abstractmethod
    async def call(self, asked: Asked) -> Received:
        """Submit a request once.

        :raises NotTakenError: nobody took it.
        """

    @abstractmethod
    def faults(self) -> Mapping[str, Fault]:
        """List what can go wrong; each lasts as long as its coroutine."""

    @abstractmethod
    async def settle(self) -> None:
        """Let the fleet come to rest after the last answer."""

    @abstractmethod
    async def started(self) -> Mapping[str, int]:
        """Count executions by key over all stand-ins."""

    @abstractmethod
    async def left_behind(self) -> list[str]:
        """Tell what is held for requests though none is under way."""

    async def play(self) -> Verdicts:
        """Play the whole run."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._disturb)
            async with anyio.create_task_group() as callers:
                await self._send_all(callers)
            tasks.cancel_scope.cancel()
        await self.settle()
        verdicts = self._referee.judge(await self.started())
        for text in await self.left_behind():
            verdicts.note('leaked', text)
        return verdicts

    async def callers_vanish(self, seconds: float) -> None:
        """Let callers leave at any moment."""
        self.vanishing = 0.2
        await anyio.sleep(seconds)
        self.vanishing = 0

    async def _send_all(self, callers: TaskGroup) -> None:
        number = 0
        while number < self._requests:
            for asked in draw(self.random, number):
                seconds = self.random.random() * _RESEND_SECONDS
                if not asked.copy or self.random.random() < _AT_ONCE:
                    seconds = float(0)
                callers.start_soon(self._caller, asked, seconds)
                number += 1
            pause_seconds = self.random.expovariate(self.requests_per_second)
            await anyio.sleep(pause_seconds)

    async def _caller(self, asked: Asked, after_seconds: float) -> None:
        await anyio.sleep(after_seconds)
        began = anyio.current_time()
        leaves = None
        if self.random.random() < self.vanishing:
            stays_seconds = self.random.expovariate(_LEAVES_PER_SECOND)
            leaves = anyio.move_on_after(stays_seconds)
        received = Received()
        with anyio.move_on_after(LONGEST_SECONDS):
            with leaves or nullcontext():
                received = await self._submit(asked)
        if leaves is not None and leaves.cancelled_caught:
            received = Received(excused=True)
        waited_seconds = anyio.current_time() - began
        self._referee.told(
            asked,
            replace(received, waited_seconds=waited_seconds),
        )

    async def _submit(self, asked: Asked) -> Received:
        while True:
            try:
                return await self.call(asked)
            except NotTakenError:
                await anyio.sleep(_RETRY_SECONDS)

    async def _disturb(self) -> None:
        faults = self.faults()
        while True:
            async with anyio.create_task_group() as tasks:
                for name in self.random.sample(sorted(faults), 2):
                    self._referee.verdicts.faults[name] += 1
                    seconds = self.random.uniform(*_FAULT_SECONDS)
                    tasks.start_soon(self._one_fault, faults[name], seconds)
            calm_seconds = self.random.expovariate(1 / _CALM_SECONDS)
            await anyio.sleep(calm_seconds)

    async def _one_fault(self, fault: Fault, seconds: float) -> None:
        # Shielded: a fault that has begun also ends.
        with anyio.CancelScope(shield=True):
            await fault(seconds)
