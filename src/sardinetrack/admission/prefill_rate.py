"""How fast an engine prefills, from its own reports."""

from __future__ import annotations

import math
from typing import Final

_AVERAGE_SECONDS: Final = 3.0
"""Prefill time over which the rate is averaged."""
_MIN_SECONDS: Final = 1.0
"""Prefill time after which the rate is known."""
_MAX_PAIR_SECONDS: Final = 0.25
"""Between two reports; a longer time may have been spent in any way."""


class PrefillRate:
    """Divides the granted tokens by the time in which the engine prefilled.

    The rate that follows from first events was three times too high (119,000 in
    place of 35,000) at a simulated engine whose first event comes only after
    several steps: the next prompt delays that event, and then seems to take
    hardly any time.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._tokens = float(0)
        self._seconds = float(0)
        self._observed_seconds = -math.inf

    @property
    def tokens(self) -> float:
        """Prompt tokens prefilled a second; 0 while unknown."""
        if self._seconds < _MIN_SECONDS:
            return 0
        return self._tokens / self._seconds

    def granted(self, tokens: int) -> None:
        """Count a granted prompt."""
        self._tokens += tokens

    def observe(self, now: float, *, is_prefilling: bool) -> None:
        """Count the time since the last report."""
        seconds = now - self._observed_seconds
        self._observed_seconds = now
        if is_prefilling and 0 < seconds <= _MAX_PAIR_SECONDS:
            kept = math.exp(-seconds / _AVERAGE_SECONDS)
            self._tokens *= kept
            self._seconds = self._seconds * kept + seconds
