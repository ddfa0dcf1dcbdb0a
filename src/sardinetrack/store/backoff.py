"""How long to wait after a failed call on the platform."""

from __future__ import annotations

import random
from typing import Final

from sardinetrack.store.api import PlatformError, ThrottledError

_FIRST_SECONDS: Final = 0.1
_LONGEST_SECONDS: Final = 1.0
_LONGEST_THROTTLED_SECONDS: Final = 2.0
_FACTOR: Final = 2.0
_SPREAD: Final = 0.5


class Backoff:
    """Exponential, jittered, and bounded.

    The bound keeps a node from sleeping through the end of an outage; the
    jitter keeps a fleet from returning in the same instant.
    """

    def __init__(self, chance: random.Random) -> None:
        """Start short.

        :param chance: source of the jitter.
        """
        self._chance = chance
        self._next_seconds = _FIRST_SECONDS

    def reset(self) -> None:
        """Note that a call succeeded."""
        self._next_seconds = _FIRST_SECONDS

    def wait_seconds(self, error: PlatformError) -> float:
        """Tell how long to wait after an error."""
        bound_seconds = self._next_seconds
        self._next_seconds = min(bound_seconds * _FACTOR, _LONGEST_SECONDS)
        wait_seconds = bound_seconds * self._chance.uniform(_SPREAD, 1)
        if isinstance(error, ThrottledError):
            wait_seconds += error.retry_after_seconds
        return min(wait_seconds, _LONGEST_THROTTLED_SECONDS)
