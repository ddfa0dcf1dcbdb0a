"""Delay after a failed call on the platform."""

from __future__ import annotations

import random
from typing import Final

from sardinetrack.store.api import PlatformError, ThrottledError

_INITIAL_BACKOFF_SECONDS: Final = 0.1
_MAX_BACKOFF_SECONDS: Final = 1.0
_MAX_THROTTLED_BACKOFF_SECONDS: Final = 2.0
_BACKOFF_FACTOR: Final = 2.0
_MIN_JITTER_FACTOR: Final = 0.5


class Backoff:
    """Exponential backoff with jitter and an upper bound.

    The bound prevents an instance from sleeping through the end of an outage;
    the jitter prevents a fleet from retrying at the same moment.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start with the initial delay.

        :param rng: random number generator for the jitter.
        """
        self._rng = rng
        self._next_bound_seconds = _INITIAL_BACKOFF_SECONDS

    def reset(self) -> None:
        """Return to the initial delay after a successful call."""
        self._next_bound_seconds = _INITIAL_BACKOFF_SECONDS

    def next_delay_seconds(self, error: PlatformError) -> float:
        """Return the delay after an error and lengthen the next one."""
        bound_seconds = self._next_bound_seconds
        self._next_bound_seconds = min(
            bound_seconds * _BACKOFF_FACTOR, _MAX_BACKOFF_SECONDS
        )
        delay_seconds = bound_seconds * self._rng.uniform(_MIN_JITTER_FACTOR, 1)
        if isinstance(error, ThrottledError):
            delay_seconds += error.retry_after_seconds
        return min(delay_seconds, _MAX_THROTTLED_BACKOFF_SECONDS)
