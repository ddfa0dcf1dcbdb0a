"""Retry budget: retries as a part of first attempts."""

from __future__ import annotations

from typing import Final

_RATIO: Final = 0.1
_BURST: Final = 5.0


class RetryBudget:
    """Gains a part of a retry by each first attempt.

    Every entry keeps its own; the sum over the fleet stays the same part of
    the fleet's first attempts, however the load is spread.
    """

    def __init__(self, ratio: float = _RATIO, burst: float = _BURST) -> None:
        """Start with a full burst.

        :param ratio: retries earned by one first attempt.
        :param burst: retries that may be saved up.
        """
        self._ratio = ratio
        self._burst = burst
        self._saved = burst

    def first_attempt(self) -> None:
        """Earn."""
        self._saved = min(self._burst, self._saved + self._ratio)

    def take(self) -> bool:
        """Spend one retry if it is there."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
