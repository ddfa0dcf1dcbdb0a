"""The servers that one request may ask for a turn, the best first."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

from sardinetrack.placement.choice import Candidate, with_room, without

STALE_SECONDS: Final = 0.1
"""Age from which an order of servers is worked out anew for the next asking.

It costs 31 us for 24 servers and 470 for 420 (benchmarks.placement), and a
refused request asks up to eight: a crowded entry with a third of a core would
spend much of its time on it. Sides renew their words every 0.15 s.
"""


class Offers:
    """Each server is asked once; the order is renewed when it is stale."""

    def __init__(
        self,
        found: Sequence[Candidate],
        find: Callable[[], list[Candidate]],
        clock: Callable[[], float],
    ) -> None:
        """Take over an order that was just worked out.

        :param find: works it out anew.
        :param clock: the loop's, in seconds.
        """
        self._found = list(found)
        self._find = find
        self._clock = clock
        self._found_seconds = clock()
        self._asked: set[str] = set()

    @property
    def asked(self) -> int:
        """Count the servers that were asked."""
        return len(self._asked)

    def ask(self, candidate: Candidate) -> None:
        """Note that a server is asked."""
        self._asked.add(candidate.server.instance)
        self._found = without(self._found, self._asked)

    def best(self, patience_seconds: float) -> Candidate | None:
        """Find the best of those that were not asked and tell of room.

        :param patience_seconds: how long the request can wait at home.
        """
        now = self._clock()
        if now - self._found_seconds > STALE_SECONDS:
            self._found = without(self._find(), self._asked)
            self._found_seconds = now
        return next(with_room(self._found, patience_seconds), None)
