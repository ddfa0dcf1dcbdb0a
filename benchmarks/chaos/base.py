"""Base of both levels of the run: callers, and pairs of faults."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from contextlib import nullcontext
from dataclasses import replace
from random import Random
from typing import Final

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.checker import Received, ResultChecker, Verdicts
from benchmarks.chaos.submission import Submission, draw_submissions

MAX_RESPONSE_SECONDS: Final = 120.0
"""The maximum time a caller waits; then it counts its response as lost."""
_RETRY_SECONDS: Final = 0.1
_RESEND_SECONDS: Final = 5.0
_SIMULTANEOUS_FRACTION: Final = 0.3
"""Fraction of the copies that are sent at the same moment."""
_FAULT_SECONDS: Final = (0.2, 5.0)
_MEAN_IDLE_SECONDS: Final = 0.3
_DISCONNECTS_PER_SECOND: Final = 10

Fault = Callable[[float], Awaitable[None]]


class NotAcceptedError(Exception):
    """No entry accepted the request; none of its bytes were sent."""


class ChaosRun(ABC):
    """Sends requests, injects pairs of faults, and checks the results."""

    requests_per_second: float

    def __init__(self, random: Random, requests: int) -> None:
        """Build a run.

        :param random: the random number generator for everything drawn.
        :param requests: number of submissions; copies may exceed it slightly.
        """
        self.random = random
        self.disconnect_fraction = float(0)
        """Fraction of the callers that disconnect early."""
        self._requests = requests
        self._checker = ResultChecker()

    @abstractmethod
    async def call(self, submission: Submission) -> Received:
        """Submit a request once.

        :raises NotAcceptedError: no entry accepted it.
        """

    @abstractmethod
    def faults(self) -> Mapping[str, Fault]:
        """Return the faults by name; each lasts as long as its coroutine."""

    @abstractmethod
    async def settle(self) -> None:
        """Wait until the fleet is idle after the last response."""

    @abstractmethod
    async def execution_counts(self) -> Mapping[str, int]:
        """Return the number of executions by key over all stand-ins."""

    @abstractmethod
    async def leaks(self) -> list[str]:
        """Describe what is still occupied though no request is under way."""

    async def run(self) -> Verdicts:
        """Run all requests and return the figures."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._inject_faults)
            async with anyio.create_task_group() as callers:
                await self._send_all(callers)
            tasks.cancel_scope.cancel()
        await self.settle()
        verdicts = self._checker.check(await self.execution_counts())
        for text in await self.leaks():
            verdicts.record_violation('leaked', text)
        return verdicts

    async def callers_disconnect(self, seconds: float) -> None:
        """Let callers disconnect at any moment."""
        self.disconnect_fraction = 0.2
        await anyio.sleep(seconds)
        self.disconnect_fraction = 0

    async def _send_all(self, callers: TaskGroup) -> None:
        number = 0
        while number < self._requests:
            for submission in draw_submissions(self.random, number):
                seconds = self.random.random() * _RESEND_SECONDS
                if (
                    not submission.copy
                    or self.random.random() < _SIMULTANEOUS_FRACTION
                ):
                    seconds = float(0)
                callers.start_soon(self._caller, submission, seconds)
                number += 1
            gap_seconds = self.random.expovariate(self.requests_per_second)
            await anyio.sleep(gap_seconds)

    async def _caller(
        self, submission: Submission, after_seconds: float
    ) -> None:
        await anyio.sleep(after_seconds)
        began = anyio.current_time()
        disconnect_scope = None
        if self.random.random() < self.disconnect_fraction:
            connected_seconds = self.random.expovariate(_DISCONNECTS_PER_SECOND)
            disconnect_scope = anyio.move_on_after(connected_seconds)
        received = Received()
        with anyio.move_on_after(MAX_RESPONSE_SECONDS):
            with disconnect_scope or nullcontext():
                received = await self._submit(submission)
        if disconnect_scope is not None and disconnect_scope.cancelled_caught:
            received = Received(excused=True)
        waited_seconds = anyio.current_time() - began
        self._checker.record(
            submission,
            replace(received, waited_seconds=waited_seconds),
        )

    async def _submit(self, submission: Submission) -> Received:
        while True:
            try:
                return await self.call(submission)
            except NotAcceptedError:
                await anyio.sleep(_RETRY_SECONDS)

    async def _inject_faults(self) -> None:
        faults = self.faults()
        while True:
            async with anyio.create_task_group() as tasks:
                for name in self.random.sample(sorted(faults), 2):
                    self._checker.verdicts.faults[name] += 1
                    seconds = self.random.uniform(*_FAULT_SECONDS)
                    tasks.start_soon(self._inject, faults[name], seconds)
            idle_seconds = self.random.expovariate(1 / _MEAN_IDLE_SECONDS)
            await anyio.sleep(idle_seconds)

    async def _inject(self, fault: Fault, seconds: float) -> None:
        # Shielded, so that a fault that has begun also ends.
        with anyio.CancelScope(shield=True):
            await fault(seconds)
