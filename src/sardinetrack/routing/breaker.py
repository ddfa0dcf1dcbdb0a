"""Circuit breaker of one backend server, with a generation."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from sardinetrack.charts.typed import TypedChart

FAILURES_TO_OPEN: Final = 3
FIRST_COOLDOWN_SECONDS: Final = 1.0
MOST_COOLDOWN_SECONDS: Final = 30.0
_GROWTH: Final = 2.0


class BreakerState(StrEnum):
    """Whether the server gets work."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


class BreakerEvent(StrEnum):
    """What moves a breaker."""

    FAILURE_LIMIT = 'failure_limit'
    PROBE = 'probe'
    PROBE_OK = 'probe_ok'
    PROBE_FAILED = 'probe_failed'
    PROBE_UNDECIDED = 'probe_undecided'


_CHART: Final = TypedChart('breaker', BreakerState, BreakerEvent)


class Breaker:
    """Opens after failures in a row; one waiting request probes it.

    Each opening starts a new generation. A request sent before the opening
    may still succeed late; without the generation that success would close
    the breaker on a server that has failed since.
    """

    def __init__(self) -> None:
        """Start closed."""
        self.generation = 0
        self._chart = _CHART.start()
        self._failures = 0
        self._cooldown_seconds = FIRST_COOLDOWN_SECONDS
        self._retry_at_seconds = float(0)

    @property
    def state(self) -> BreakerState:
        """Where the breaker stands on its chart."""
        return self._chart.state

    def allows(self, now: float) -> bool:
        """Whether a request may be sent; one probes after the cooldown."""
        state = self._chart.state
        if state is BreakerState.CLOSED:
            return True
        return state is BreakerState.OPEN and now >= self._retry_at_seconds

    def sent(self) -> int:
        """Note a request on its way.

        :return: the generation to hand back with its end.
        """
        if self.state is BreakerState.OPEN:
            self._chart.fire(BreakerEvent.PROBE)
        return self.generation

    def succeeded(self, generation: int) -> None:
        """Note a whole answer."""
        if generation != self.generation:
            return
        self._failures = 0
        self._cooldown_seconds = FIRST_COOLDOWN_SECONDS
        if self.state is BreakerState.HALF_OPEN:
            self._chart.fire(BreakerEvent.PROBE_OK)

    def failed(self, now: float, generation: int) -> None:
        """Note a failure; those of an older generation count already."""
        if generation != self.generation:
            return
        self._failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self._open(now, BreakerEvent.PROBE_FAILED)
        elif self._failures >= FAILURES_TO_OPEN:
            self._open(now, BreakerEvent.FAILURE_LIMIT)

    def undecided(self, generation: int) -> None:
        """Note that a request ended and said nothing about the server."""
        probing = self.state is BreakerState.HALF_OPEN
        if probing and generation == self.generation:
            self._chart.fire(BreakerEvent.PROBE_UNDECIDED)

    def _open(self, now: float, event: BreakerEvent) -> None:
        self._chart.fire(event)
        self.generation += 1
        self._failures = 0
        self._retry_at_seconds = now + self._cooldown_seconds
        grown = self._cooldown_seconds * _GROWTH
        self._cooldown_seconds = min(grown, MOST_COOLDOWN_SECONDS)
