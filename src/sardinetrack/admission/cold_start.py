"""How many requests a second a cold server gets; reads no clock."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.topology.cold import ColdPeriod

_BURST: Final = 2
"""Requests that may go together; the others keep their interval."""
RAMP_SECONDS: Final = 1.0
"""From the end of the cold period until there is no limit any more."""
_STEP_SECONDS: Final = 0.25
"""Time in which the rate grows by the rate of the cold period."""


class ColdStartLimiter:
    """Spaces the requests that go to a server after a cold start.

    A server that has just started crashes when it immediately gets the load
    that it handles when warm, starts cold again, and never gets out of this
    loop. Evenly spaced requests keep below its limit in any second, also when
    some of them travel longer than others. After the cold period the rate
    grows gradually, so that the queued requests don't go all at the same time.
    """

    def __init__(self) -> None:
        self.cold_period = ColdPeriod()
        self._due_seconds = -math.inf

    def update_cold_period(self, cold_period: ColdPeriod) -> None:
        """Set how long the server stays cold, and its rate until then."""
        self.cold_period = cold_period

    def is_limited(self, now: float) -> bool:
        """Whether the rate is limited now."""
        if self.cold_period.closed:
            return now < self.cold_period.until_seconds
        over = now >= self.cold_period.until_seconds + RAMP_SECONDS
        return not over and self.cold_period.per_second > 0

    def free_at_seconds(self, now: float) -> float:
        """Return when the next request may go; in the past if it may now."""
        if not self.is_limited(now):
            return -math.inf
        if self.cold_period.closed:
            return self.cold_period.until_seconds
        return self._due_seconds - (_BURST - 1) * self._interval(now)

    def wait_seconds(self, now: float, before: int) -> float:
        """Estimate how long a request waits for this limit.

        :param before: requests that go before it.
        """
        if not self.is_limited(now):
            return 0
        if self.cold_period.closed:
            return self.cold_period.until_seconds - now
        wait_seconds = max(0, self.free_at_seconds(now) - now)
        wait_seconds += before * self._interval(now)
        limited_seconds = self.cold_period.until_seconds + RAMP_SECONDS - now
        return min(wait_seconds, limited_seconds)

    def granted(self, now: float) -> None:
        """Count a request that goes to the server."""
        if self.is_limited(now) and not self.cold_period.closed:
            begins_seconds = max(now, self._due_seconds)
            self._due_seconds = begins_seconds + self._interval(now)

    def _interval(self, now: float) -> float:
        over_seconds = max(0, now - self.cold_period.until_seconds)
        growth = 1 + over_seconds / _STEP_SECONDS
        return 1 / (self.cold_period.per_second * growth)
