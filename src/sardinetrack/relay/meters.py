"""Counters and histograms of an entry, as plain numbers on the hot path."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import Final

BOUNDS_SECONDS: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
MOST_WORKSPACES: Final = 200
"""Workspaces counted by name; more would let a label grow without bound."""
OTHERS: Final = 'others'


class Histogram:
    """Counts durations by bucket."""

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in (*BOUNDS_SECONDS, None)]
        self.sum_seconds = float(0)

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds


class Meters:
    """What one entry has done since it started."""

    def __init__(self) -> None:
        """Start at zero."""
        self.ends: Counter[str] = Counter()
        """By kind of error; ``served`` where a server's answer went out."""
        self.retries: Counter[str] = Counter()
        """By the cause of the repetition."""
        self.workspaces: Counter[str] = Counter()
        self.refused_entries = 0
        """Listed entries that name no server; each change counts."""
        self.restarts = 0
        """Servers that started again under their id."""
        self.took = Histogram()
        self.waited = Histogram()
        self.first_event = Histogram()

    def ended(self, end: str, workspace: str, took_seconds: float) -> None:
        """Count the end of a request.

        :param end: the kind of error, or ``served``.
        """
        self.ends[end] += 1
        known = workspace in self.workspaces
        if not known and len(self.workspaces) >= MOST_WORKSPACES:
            workspace = OTHERS
        self.workspaces[workspace] += 1
        self.took.add(took_seconds)
