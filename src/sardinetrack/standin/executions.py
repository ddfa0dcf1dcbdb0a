"""What a stand-in ran, counted by the key of the request."""

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
    CUT = 'cut'


@dataclass(slots=True)
class Counts:
    """Executions of one key."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    cut: int = 0

    def add(self, outcome: Outcome) -> None:
        """Count one that ended."""
        setattr(self, outcome.value, getattr(self, outcome.value) + 1)


@dataclass(eq=False, slots=True)
class Execution:
    """One run of one request."""

    key: str
    ordinal: int
    outcome: Outcome | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def finish(self) -> None:
        """The work is done; the answer may still be on its way."""
        self.outcome = self.outcome or Outcome.FINISHED

    def stop(self, outcome: Outcome) -> None:
        """End it before its time."""
        self.outcome = self.outcome or outcome
        self.scope.cancel()


class Executions:
    """Counts by key, kept as long as the stand-in's process lives."""

    def __init__(self) -> None:
        """Start with no executions."""
        self.counts: dict[str, Counts] = {}
        self._running: set[Execution] = set()

    @contextmanager
    def running(self, key: str) -> Iterator[Execution]:
        """Count one execution; leaving without an outcome means cut.

        :param key: of the request.
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
            counts.add(execution.outcome or Outcome.CUT)

    def cut_all(self) -> None:
        """Cut all that run now."""
        for execution in tuple(self._running):
            execution.stop(Outcome.CUT)
