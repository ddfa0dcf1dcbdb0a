"""How many requests a second a cold server is given; reads no clock."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.topology.cold import Cold

_AT_ONCE: Final = 2
"""Requests that may go together; the others keep their distance."""
RAMP_SECONDS: Final = 1.0
"""After the last cold moment until there is no bound any more."""
_STEP_SECONDS: Final = 0.25
"""Time in which the pace grows by what a cold server bears."""


class WarmTurns:
    """Spaces the requests that go to a cold server.

    A server that has just started crashes when it is given at once what it
    bears when warm, starts anew, cold again, and never gets out of this. Evenly
    spaced requests keep below its bound in any second, also when some of them
    travel longer than others; after the last cold moment the pace grows, so
    that what has queued up meanwhile doesn't go all at once.
    """

    def __init__(self) -> None:
        """Start warm."""
        self.cold = Cold()
        self._due_seconds = -math.inf

    def cool(self, cold: Cold) -> None:
        """Learn how long the server stays cold."""
        self.cold = cold

    def bounds(self, now: float) -> bool:
        """Whether there is a bound now."""
        over = now >= self.cold.until_seconds + RAMP_SECONDS
        return not over and self.cold.per_second > 0

    def free_at_seconds(self, now: float) -> float:
        """Tell when the next request may go; in the past if it may now."""
        if not self.bounds(now):
            return -math.inf
        return self._due_seconds - (_AT_ONCE - 1) * self._interval(now)

    def wait_seconds(self, now: float, before: int) -> float:
        """Tell how long a request waits for this bound.

        :param before: requests that go before it.
        """
        if not self.bounds(now):
            return 0
        wait_seconds = max(0, self.free_at_seconds(now) - now)
        wait_seconds += before * self._interval(now)
        warm_seconds = self.cold.until_seconds + RAMP_SECONDS - now
        return min(wait_seconds, warm_seconds)

    def granted(self, now: float) -> None:
        """Note that a request goes there."""
        if self.bounds(now):
            begins_seconds = max(now, self._due_seconds)
            self._due_seconds = begins_seconds + self._interval(now)

    def _interval(self, now: float) -> float:
        over_seconds = max(0, now - self.cold.until_seconds)
        grown = 1 + over_seconds / _STEP_SECONDS
        return 1 / (self.cold.per_second * grown)
