"""Circuit breaker of one backend server, with a generation."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

FAILURES_TO_OPEN: Final = 3
FIRST_COOLDOWN_SECONDS: Final = 1.0
MOST_COOLDOWN_SECONDS: Final = 30.0
_GROWTH: Final = 2.0


class BreakerState(StrEnum):
    """Whether the server gets work."""

    CLOSED = 'closed'
    OPEN = 'open'
    PROBING = 'probing'


class Breaker:
    """Opens after failures in a row; one waiting request probes it.

    Each opening starts a new generation. A request sent before the opening
    may still succeed late; without the generation that success would close
    the breaker on a server that has failed since.
    """

    def __init__(self) -> None:
        """Start closed."""
        self.generation = 0
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._cooldown_seconds = FIRST_COOLDOWN_SECONDS
        self._retry_at_seconds = float(0)

    def allows(self, now: float) -> bool:
        """Whether a request may be sent; a half-open breaker takes one."""
        if self.state is BreakerState.OPEN:
            return now >= self._retry_at_seconds
        return self.state is BreakerState.CLOSED

    def sent(self) -> int:
        """Note a request on its way.

        :return: the generation to hand back with its end.
        """
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.PROBING
        return self.generation

    def succeeded(self, generation: int) -> None:
        """Note a whole answer."""
        if generation != self.generation:
            return
        self._failures = 0
        self.state = BreakerState.CLOSED
        self._cooldown_seconds = FIRST_COOLDOWN_SECONDS

    def failed(self, now: float, generation: int) -> None:
        """Note a failure; those of an older generation count already."""
        if generation != self.generation:
            return
        self._failures += 1
        probing = self.state is BreakerState.PROBING
        if probing or self._failures >= FAILURES_TO_OPEN:
            self._open(now)

    def undecided(self, generation: int) -> None:
        """Note that a request ended and said nothing about the server."""
        probing = self.state is BreakerState.PROBING
        if probing and generation == self.generation:
            self.state = BreakerState.OPEN

    def _open(self, now: float) -> None:
        self.generation += 1
        self._failures = 0
        self.state = BreakerState.OPEN
        self._retry_at_seconds = now + self._cooldown_seconds
        grown = self._cooldown_seconds * _GROWTH
        self._cooldown_seconds = min(grown, MOST_COOLDOWN_SECONDS)
