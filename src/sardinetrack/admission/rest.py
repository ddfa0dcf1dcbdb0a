"""The time for which a backend server wants no requests."""

from __future__ import annotations


class RestPeriod:
    """Lasts until the latest end that the backend server has asked for."""

    def __init__(self) -> None:
        self.until_seconds = float('-inf')
        """End of the period, monotonic."""

    def is_active(self, now: float) -> bool:
        """Whether the backend server wants no requests now."""
        return now < self.until_seconds

    def extend(self, now: float, seconds: float) -> None:
        """Apply a response; a shorter time does not replace a longer one."""
        self.until_seconds = max(self.until_seconds, now + seconds)
