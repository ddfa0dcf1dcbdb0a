"""Circuit breaker of one backend server."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from sardinetrack.charts.typed import TypedStateChart

FAILURE_THRESHOLD: Final = 3
INITIAL_COOLDOWN_SECONDS: Final = 1.0
MAX_COOLDOWN_SECONDS: Final = 30.0
_BACKOFF_FACTOR: Final = 2.0


class BreakerState(StrEnum):
    """States of the state chart ``breaker``."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


class BreakerEvent(StrEnum):
    """Events of the state chart ``breaker``."""

    FAILURE_LIMIT = 'failure_limit'
    PROBE = 'probe'
    PROBE_OK = 'probe_ok'
    PROBE_FAILED = 'probe_failed'
    PROBE_UNDECIDED = 'probe_undecided'


_CHART: Final = TypedStateChart('breaker', BreakerState, BreakerEvent)


class Breaker:
    """Opens after consecutive failures; one queued request is its probe.

    Each opening starts a new generation. A request sent before the opening
    may still succeed late; without the generation that success would close
    the breaker although the server has failed since.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._chart = _CHART.start()
        self._failures = 0
        self._cooldown_seconds = INITIAL_COOLDOWN_SECONDS
        self._retry_at_seconds = float(0)

    @property
    def state(self) -> BreakerState:
        """Current state."""
        return self._chart.state

    def allows(self, now: float) -> bool:
        """Whether a request may be sent; after the cooldown, one as a probe."""
        state = self._chart.state
        if state is BreakerState.CLOSED:
            return True
        return state is BreakerState.OPEN and now >= self._retry_at_seconds

    def request_sent(self) -> int:
        """Record that a request is sent.

        :return: the current generation, to be passed with its outcome.
        """
        if self.state is BreakerState.OPEN:
            self._chart.fire(BreakerEvent.PROBE)
        return self.generation

    def request_succeeded(self, generation: int) -> None:
        """Record a complete response."""
        if generation != self.generation:
            return
        self._failures = 0
        self._cooldown_seconds = INITIAL_COOLDOWN_SECONDS
        if self.state is BreakerState.HALF_OPEN:
            self._chart.fire(BreakerEvent.PROBE_OK)

    def request_failed(self, now: float, generation: int) -> None:
        """Record a failure; those of an older generation have been counted."""
        if generation != self.generation:
            return
        self._failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self._open(now, BreakerEvent.PROBE_FAILED)
        elif self._failures >= FAILURE_THRESHOLD:
            self._open(now, BreakerEvent.FAILURE_LIMIT)

    def request_inconclusive(self, generation: int) -> None:
        """Record that a request ended without showing the server's state."""
        probing = self.state is BreakerState.HALF_OPEN
        if probing and generation == self.generation:
            self._chart.fire(BreakerEvent.PROBE_UNDECIDED)

    def _open(self, now: float, event: BreakerEvent) -> None:
        self._chart.fire(event)
        self.generation += 1
        self._failures = 0
        self._retry_at_seconds = now + self._cooldown_seconds
        next_cooldown = self._cooldown_seconds * _BACKOFF_FACTOR
        self._cooldown_seconds = min(next_cooldown, MAX_COOLDOWN_SECONDS)
