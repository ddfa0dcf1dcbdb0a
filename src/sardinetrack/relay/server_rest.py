"""Servers that have asked to be sent nothing for a while."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

MIN_REPORTED_SECONDS: Final = 1.0
"""A rest that ends less than this after the last reported one is not reported.

A full server turns away all requests on their way to it, each a little later
than the one before; a line for each would grow with the requests.
"""


class ServerRests:
    """Until when each server wants no requests; reads no clock.

    Times are on the boot clock: by one that stands still in suspension, a
    server would be left idle for the length of the suspension after its rest.
    """

    def __init__(self) -> None:
        """Start without any rest."""
        self._until_seconds: dict[str, float] = {}
        self._reported_seconds: dict[str, float] = {}

    def __len__(self) -> int:
        """Count the servers for which a rest is recorded, also ended ones."""
        return len({*self._until_seconds, *self._reported_seconds})

    def begin(self, now: float, instance: str, seconds: float) -> bool:
        """Begin a rest, or prolong the one in force; never shorten it.

        :param seconds: from now.
        :return: whether it is worth reporting.
        """
        until_seconds = now + seconds
        if until_seconds <= self._until_seconds.get(instance, now):
            return False
        self._until_seconds[instance] = until_seconds
        reported_seconds = self._reported_seconds.get(instance, -math.inf)
        if until_seconds < reported_seconds + MIN_REPORTED_SECONDS:
            return False
        self._reported_seconds[instance] = until_seconds
        return True

    def in_force(self, now: float) -> Collection[str]:
        """Return the instances of the servers that rest."""
        ended = [
            instance
            for instance, until_seconds in self._until_seconds.items()
            if until_seconds <= now
        ]
        for instance in ended:
            self._until_seconds.pop(instance)
        return self._until_seconds.keys()

    def left_seconds(self, now: float, instance: str) -> float:
        """Return how long a server still rests; 0 if it does not."""
        return max(0, self._until_seconds.get(instance, now) - now)

    def keep(self, instances: Collection[str]) -> None:
        """Forget all other servers."""
        for kept in (self._until_seconds, self._reported_seconds):
            for stale in set(kept) - set(instances):
                kept.pop(stale)
