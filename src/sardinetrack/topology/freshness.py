"""Age of the newest confirmed view of the configuration."""

from __future__ import annotations

import math
import time
from typing import Final

MAX_AGE_FRACTION: Final = 0.86
"""Fraction of the revocation bound after which API keys are not accepted.

A request sent at the last moment reaches its server only after the time to
connect, at most 0.25 s; 0.14 of the usual 5 s is 0.7 s.
"""


def boot_clock() -> float:
    """Return the time of a monotonic clock that also runs in suspension.

    In seconds. The usual monotonic clock stops while an instance is suspended:
    after a minute of suspension a view would look as fresh as before, and
    requests with a key revoked during that minute would still run.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Age of the last confirmed view, and the bound on it."""

    def __init__(self, revoke_seconds: float | None) -> None:
        """Start without a confirmed view.

        :param revoke_seconds: from the acknowledgement of a revocation to
            the last request that may run with the key; ``None`` for no bound.
        """
        self._confirmed_seconds = -math.inf
        self.set_bound(revoke_seconds)

    def set_bound(self, revoke_seconds: float | None) -> None:
        """Change the bound; the view keeps its age."""
        self._bound_seconds = math.inf
        if revoke_seconds is not None:
            self._bound_seconds = MAX_AGE_FRACTION * revoke_seconds

    def confirm(self, asked_seconds: float) -> None:
        """Record that the store responded to a request.

        :param asked_seconds: when it was sent, by the boot clock.
        """
        self._confirmed_seconds = max(self._confirmed_seconds, asked_seconds)

    def age_seconds(self) -> float:
        """Return the age of the confirmed view."""
        return boot_clock() - self._confirmed_seconds

    def is_fresh(self) -> bool:
        """Whether the view is fresh enough to accept API keys by it."""
        return self.age_seconds() < self._bound_seconds
