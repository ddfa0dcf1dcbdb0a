"""Token bucket."""

from __future__ import annotations

from typing import Final

_BURST_SECONDS: Final = 2.0
_MIN_RATE: Final = 0.001


class TokenBucket:
    """Admits at a rate, with a burst of some seconds' worth."""

    def __init__(self, now: float, rate_per_second: float) -> None:
        """Create a full bucket.

        :param now: monotonic time.
        :param rate_per_second: tokens added a second.
        """
        self._rate_per_second = rate_per_second
        self._tokens = self._burst
        self._filled_seconds = now

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_second * _BURST_SECONDS)

    def set_rate(self, now: float, rate_per_second: float) -> None:
        """Change the rate from now on."""
        self._fill(now)
        self._rate_per_second = rate_per_second
        self._tokens = min(self._tokens, self._burst)

    def take(self, now: float) -> bool:
        """Remove one token if there is one; return whether there was."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def seconds_to_token(self, now: float) -> float:
        """Return how long until the next token is available."""
        self._fill(now)
        return max(0, 1 - self._tokens) / max(self._rate_per_second, _MIN_RATE)

    def _fill(self, now: float) -> None:
        added = (now - self._filled_seconds) * self._rate_per_second
        self._tokens = min(self._burst, self._tokens + added)
        self._filled_seconds = now
