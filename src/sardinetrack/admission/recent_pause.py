"""The longest pause that the prefill at an engine caused lately."""

from __future__ import annotations

import math
from typing import Final

_DECAY_SECONDS: Final = 4.0
"""Time constant: the duration of a stream."""


class RecentPause:
    """Keeps the longest predicted pause, which decays; reads no clock."""

    def __init__(self) -> None:
        self._longest_seconds = float(0)
        self._at_seconds = float(0)

    def record(self, now: float, pause_seconds: float) -> None:
        """Record the pause of the streams that run now."""
        if pause_seconds >= self.seconds(now):
            self._longest_seconds = pause_seconds
            self._at_seconds = now

    def seconds(self, now: float) -> float:
        """Return the longest pause; 0 where none was predicted."""
        age_seconds = max(0, now - self._at_seconds)
        return self._longest_seconds * math.exp(-age_seconds / _DECAY_SECONDS)
