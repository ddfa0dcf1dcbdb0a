"""Counts of a stand-in's executions by the key of the request."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import anyio


class Outcome(StrEnum):
    """How an execution ended."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    INTERRUPTED = 'cut'


@dataclass(slots=True)
class Counts:
    """Counts of the executions of one key."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    cut: int = 0

    def add(self, outcome: Outcome) -> None:
        """Count an execution that ended."""
        setattr(self, outcome.value, getattr(self, outcome.value) + 1)


@dataclass(eq=False, slots=True)
class Execution:
    """One execution of one request.

    :param ordinal: its number under the key, from 1.
    """

    key: str
    ordinal: int
    outcome: Outcome | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def finish(self) -> None:
        """Record that it finished; its response may still be under way."""
        self.outcome = self.outcome or Outcome.FINISHED

    def stop(self, outcome: Outcome) -> None:
        """Cancel it and record why."""
        self.outcome = self.outcome or outcome
        self.scope.cancel()


class Executions:
    """Counts by key, kept until the stand-in's process ends."""

    def __init__(self) -> None:
        """Build empty counts."""
        self.counts: dict[str, Counts] = {}
        self._running: set[Execution] = set()

    @contextmanager
    def running(self, key: str) -> Iterator[Execution]:
        """Count an execution; without an outcome it counts as interrupted.

        :param key: key of the request.
        :return: the execution, in whose cancel scope the body runs.
        """
        counts = self.counts.setdefault(key, Counts())
        counts.started += 1
        execution = Execution(key, counts.started)
        self._running.add(execution)
        try:
            with execution.scope:
                yield execution
        finally:
            self._running.discard(execution)
            counts.add(execution.outcome or Outcome.INTERRUPTED)

    def interrupt_all(self) -> None:
        """Interrupt all running executions."""
        for execution in tuple(self._running):
            execution.stop(Outcome.INTERRUPTED)
