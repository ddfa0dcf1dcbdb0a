"""Retry budget: retries as a fraction of first attempts."""

from __future__ import annotations

from typing import Final

_RATIO: Final = 0.1
_BURST: Final = 5.0


class RetryBudget:
    """Each first attempt adds a fraction of a retry to the budget.

    Every entry has its own budget; over the fleet, retries stay the same
    fraction of first attempts, however the load is distributed.
    """

    def __init__(self, ratio: float = _RATIO, burst: float = _BURST) -> None:
        """Create a full budget.

        :param ratio: retries added by one first attempt.
        :param burst: most retries that the budget holds.
        """
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def resize(self, ratio: float, burst: float) -> None:
        """Change the limits; what was spent stays spent."""
        self._ratio = ratio
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def deposit(self) -> None:
        """Add the fraction of a retry for one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_withdraw(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Return a retry that was withdrawn but not sent."""
        self._tokens = min(self._burst, self._tokens + 1)
