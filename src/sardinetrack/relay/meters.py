"""Counters and histograms of an entry, as plain numbers on the hot path."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import Final

BOUNDS_SECONDS: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
MAX_WORKSPACES: Final = 200
"""Workspaces counted by name; more would let a label grow without limit."""
OTHERS: Final = 'others'


class Histogram:
    """Counts durations by bucket."""

    def __init__(self) -> None:
        self.counts = [0 for _ in (*BOUNDS_SECONDS, None)]
        self.sum_seconds = float(0)

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds


class Meters:
    """Counts what one entry has done since it started."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        """By kind of error; ``served`` where a server's response was
        delivered."""
        self.retries: Counter[str] = Counter()
        """By the cause of the retry."""
        self.truncated: Counter[str] = Counter()
        """Responses that were started and not completed, by kind of error."""
        self.discarded: Counter[str] = Counter()
        """Responses that may not be the one to the request, by the reason."""
        self.workspaces: Counter[str] = Counter()
        self.refused_entries = 0
        """Listed records that could not be read; each change counts."""
        self.restarts = 0
        """Servers that restarted under the same id."""
        self.rests = 0
        """Rests that servers asked for, as far as lines report them."""
        self.announced_leavings = 0
        """Servers that said in a response that they leave."""
        self.took = Histogram()
        self.waited = Histogram()
        self.first_event = Histogram()

    def ended(self, outcome: str, workspace: str, took_seconds: float) -> None:
        """Count the end of a request.

        :param outcome: the kind of error, or ``served``.
        """
        self.outcomes[outcome] += 1
        known = workspace in self.workspaces
        if not known and len(self.workspaces) >= MAX_WORKSPACES:
            workspace = OTHERS
        self.workspaces[workspace] += 1
        self.took.add(took_seconds)
