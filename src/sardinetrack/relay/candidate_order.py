"""The servers from which one request may request a permit, the best first."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

from sardinetrack.placement.choice import (
    MAX_FURTHER_HOMES,
    Candidate,
    excluding,
    further_home,
    with_capacity,
)

STALE_SECONDS: Final = 0.1
"""Age from which the order of servers is computed again for the next try.

Computing it takes 31 us for 24 servers and 470 us for 420
(benchmarks.placement), and a refused request tries up to eight: a crowded entry
with a third of a core would spend much of its time on it. Sides send load
reports every 0.15 s.
"""


class CandidateOrder:
    """Returns each server once; computes the order again when it is stale."""

    def __init__(
        self,
        candidates: Sequence[Candidate],
        rank: Callable[[], list[Candidate]],
        clock: Callable[[], float],
    ) -> None:
        """Start with an order that was just computed.

        :param candidates: the order.
        :param rank: computes it again.
        :param clock: returns the time of the event loop's clock, in seconds.
        """
        self._candidates = list(candidates)
        self._rank = rank
        self._clock = clock
        self._ranked_seconds = clock()
        self._tried: set[str] = set()
        self._further_homes = 0

    @property
    def tried_count(self) -> int:
        """The number of servers that were tried."""
        return len(self._tried)

    def mark_tried(self, candidate: Candidate) -> None:
        """Mark a server as tried."""
        self._tried.add(candidate.server.instance)
        self._candidates = excluding(self._candidates, self._tried)

    def best(self, max_wait_seconds: float) -> Candidate | None:
        """Return the best server that was not tried and reports free capacity.

        :param max_wait_seconds: how long the request can wait at its home
            server.
        """
        self._update()
        return next(with_capacity(self._candidates, max_wait_seconds), None)

    def further_home(self, request_id: str) -> Candidate | None:
        """Return a further server that was not tried, whatever its load."""
        if self._further_homes >= MAX_FURTHER_HOMES:
            return None
        self._further_homes += 1
        self._update()
        return further_home(self._candidates, request_id)

    def _update(self) -> None:
        now = self._clock()
        if now - self._ranked_seconds > STALE_SECONDS:
            self._candidates = excluding(self._rank(), self._tried)
            self._ranked_seconds = now
