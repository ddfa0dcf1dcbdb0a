"""How old the newest confirmed view of the configuration is."""

from __future__ import annotations

import math
import time
from typing import Final

KEPT_PART: Final = 0.86
"""Part of the revocation bound after which keyed work is refused.

What is sent in the last moment reaches its server a connection's time later,
at most 0.25 s; 0.14 of the usual 5 s is 0.7 s.
"""


def boot_clock() -> float:
    """Read a steady clock that also counts time in suspension.

    The usual monotonic clock stops while an instance is suspended; by it a
    view that slept for a minute would look a moment old, and a key that was
    revoked meanwhile would still run work.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Age of the last confirmed view, and the bound on it."""

    def __init__(self, revoke_seconds: float | None) -> None:
        """Start with nothing confirmed.

        :param revoke_seconds: from the acknowledgement of a revocation to
            the last request that may run with the key; ``None`` for no bound.
        """
        self._confirmed_seconds = -math.inf
        self.bound(revoke_seconds)

    def bound(self, revoke_seconds: float | None) -> None:
        """Take over a changed bound; the view keeps its age."""
        self._bound_seconds = math.inf
        if revoke_seconds is not None:
            self._bound_seconds = KEPT_PART * revoke_seconds

    def confirm(self, asked_seconds: float) -> None:
        """Note an answer of the store to a question asked then."""
        self._confirmed_seconds = max(self._confirmed_seconds, asked_seconds)

    def age_seconds(self) -> float:
        """Tell how old the confirmed view is."""
        return boot_clock() - self._confirmed_seconds

    def holds(self) -> bool:
        """Whether keys may still be taken as valid."""
        return self.age_seconds() < self._bound_seconds
