"""Counters and histograms of an entry, written as Prometheus text."""

from __future__ import annotations

from bisect import bisect_left
from typing import Final

BOUNDS_SECONDS: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Meters:
    """Plain numbers on the hot path; a library writes them when asked."""

    def __init__(self) -> None:
        """Start at zero."""
        self.ended_by_status: dict[int, int] = {}
        self.took_buckets = [0 for _ in (*BOUNDS_SECONDS, None)]
        self.took_sum_seconds = float(0)

    def ended(self, status: int, took_seconds: float) -> None:
        """Count the end of a request.

        :param status: of an answer of our own, 0 for a server's.
        """
        count = self.ended_by_status.get(status, 0)
        self.ended_by_status[status] = count + 1
        self.took_buckets[bisect_left(BOUNDS_SECONDS, took_seconds)] += 1
        self.took_sum_seconds += took_seconds
