"""How many grants a side sends ahead, so that no slot idles for a round trip.

Requests that arrive with such a grant wait at the side for the next free slot.
"""

from __future__ import annotations

import math
from typing import Final

_INITIAL_ROUND_TRIP_SECONDS: Final = 0.002
_INITIAL_RUN_SECONDS: Final = 1.0
_GAIN: Final = 0.1
_RISE_GAIN: Final = 0.5
_IDLE_FRACTION: Final = 0.003
"""Fraction of slot-time that may idle because no request is queued."""
_MAX_DEPTH: Final = 64
_VALID_ROUND_TRIPS: Final = 4.0
_MIN_VALID_SECONDS: Final = 0.25
_MAX_VALID_SECONDS: Final = 2.0


def shortage(mean: float, depth: int) -> float:
    """Expected completions beyond a depth, for Poisson completions.

    :param mean: completions expected in one round trip.
    :param depth: requests queued at the side.
    :return: expected number of slots that find no queued request.
    """
    chance = math.exp(-mean)
    missing = mean - depth
    for count in range(depth):
        missing += (depth - count) * chance
        chance *= mean / (count + 1)
    return max(0, missing)


class GrantPrefetch:
    """Estimates the grant round trip and the run time of requests."""

    def __init__(self) -> None:
        self.round_trip_seconds = _INITIAL_ROUND_TRIP_SECONDS
        self.run_seconds = _INITIAL_RUN_SECONDS

    @property
    def valid_seconds(self) -> float:
        """How long a grant reserves a slot."""
        wanted = self.round_trip_seconds * _VALID_ROUND_TRIPS
        return min(max(wanted, _MIN_VALID_SECONDS), _MAX_VALID_SECONDS)

    def grant_used(self, seconds: float) -> None:
        """Update the round trip from a grant that came back as a request.

        :param seconds: since the grant was sent.
        """
        longer = seconds > self.round_trip_seconds
        gain = _RISE_GAIN if longer else _GAIN
        self.round_trip_seconds += gain * (seconds - self.round_trip_seconds)

    def request_ended(self, seconds: float) -> None:
        """Update the run time from a request that ended.

        :param seconds: for which it ran.
        """
        self.run_seconds += _GAIN * (seconds - self.run_seconds)

    def depth(self, limit: int) -> int:
        """Return how many grants may be open beyond the free slots.

        :param limit: slots of the side.
        :return: the smallest depth whose expected shortage is small enough.
        """
        rate = limit / max(self.run_seconds, self.round_trip_seconds)
        mean = rate * self.round_trip_seconds
        allowed = _IDLE_FRACTION * limit
        depth = 0
        while depth < _MAX_DEPTH and shortage(mean, depth) > allowed:
            depth += 1
        return depth
