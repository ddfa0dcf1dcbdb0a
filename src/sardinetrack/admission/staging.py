"""How many requests a side holds ready, so that no slot waits for a grant."""

from __future__ import annotations

import math
from typing import Final

_FIRST_ROUND_TRIP_SECONDS: Final = 0.002
_FIRST_RUN_SECONDS: Final = 1.0
_GAIN: Final = 0.1
_RISE_GAIN: Final = 0.5
_IDLE_PART: Final = 0.003
"""Slot-time that may idle for want of a staged request."""
_MAX_DEPTH: Final = 64
_VALID_ROUND_TRIPS: Final = 4.0
_LEAST_VALID_SECONDS: Final = 0.25
_MOST_VALID_SECONDS: Final = 2.0


def shortage(mean: float, depth: int) -> float:
    """Expected completions beyond a depth, for Poisson completions.

    :param mean: completions expected in one round trip.
    :param depth: requests held ready.
    :return: expected number of slots that find nothing staged.
    """
    chance = math.exp(-mean)
    missing = mean - depth
    for count in range(depth):
        missing += (depth - count) * chance
        chance *= mean / (count + 1)
    return max(0, missing)


class Staging:
    """Learns the grant round trip and the run time of requests."""

    def __init__(self) -> None:
        """Start with first guesses."""
        self.round_trip_seconds = _FIRST_ROUND_TRIP_SECONDS
        self.run_seconds = _FIRST_RUN_SECONDS

    @property
    def valid_seconds(self) -> float:
        """How long a grant sets a slot aside."""
        wanted = self.round_trip_seconds * _VALID_ROUND_TRIPS
        return min(max(wanted, _LEAST_VALID_SECONDS), _MOST_VALID_SECONDS)

    def answered(self, seconds: float) -> None:
        """Learn from a grant that came back as a request."""
        longer = seconds > self.round_trip_seconds
        gain = _RISE_GAIN if longer else _GAIN
        self.round_trip_seconds += gain * (seconds - self.round_trip_seconds)

    def ran(self, seconds: float) -> None:
        """Learn from a request that ended."""
        self.run_seconds += _GAIN * (seconds - self.run_seconds)

    def depth(self, limit: int) -> int:
        """Choose how many grants may go beyond the free slots.

        :param limit: slots of the side.
        :return: the least depth whose expected shortage is small enough.
        """
        rate = limit / max(self.run_seconds, self.round_trip_seconds)
        mean = rate * self.round_trip_seconds
        allowed = _IDLE_PART * limit
        depth = 0
        while depth < _MAX_DEPTH and shortage(mean, depth) > allowed:
            depth += 1
        return depth
