"""Count what the lines of a run tell, by second, reason and workspace."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import quantiles
from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.logs.request_trace import Line

SERVED: Final = 'served'
LATE: Final = 'late'
_PERCENTILES: Final = 100
_MEDIAN: Final = 49
_NINETY_FIVE: Final = 94
MOST_WORKSPACES: Final = 12
"""Workspaces shown by name: those with the most requests."""


@dataclass(slots=True)
class Waits:
    """How long the requests of one workspace waited for turns."""

    seconds: list[float] = field(default_factory=list)

    @property
    def median_seconds(self) -> float:
        """Half waited no longer."""
        return self._quantile(_MEDIAN)

    @property
    def p95_seconds(self) -> float:
        """Nineteen of twenty waited no longer."""
        return self._quantile(_NINETY_FIVE)

    def _quantile(self, number: int) -> float:
        if len(self.seconds) < 2:
            return sum(self.seconds)
        return quantiles(self.seconds, n=_PERCENTILES)[number]


@dataclass(slots=True)
class Summary:
    """A run by its lines; seconds count from the first line."""

    objective_seconds: float
    """A first event later than this is late."""
    ends: defaultdict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    """By second: requests served, late, or refused by their reason."""
    waits: defaultdict[str, Waits] = field(
        default_factory=lambda: defaultdict(Waits),
    )
    """By workspace."""
    sent_tokens: defaultdict[str, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    """By server and second: prompt tokens that it was sent to read."""
    dropped_lines: int = 0

    @property
    def totals(self) -> Counter[str]:
        """Requests by how they ended."""
        return sum(self.ends.values(), Counter())

    @property
    def busiest_workspaces(self) -> list[str]:
        """Name the workspaces with the most requests, the first in front."""
        by_count = sorted(
            self.waits,
            key=lambda name: len(self.waits[name].seconds),
            reverse=True,
        )
        return by_count[:MOST_WORKSPACES]


def summarise(lines: Iterable[Line], objective_seconds: float) -> Summary:
    """Read the lines of all processes of a run.

    Clocks of instances may be seconds apart, and so are their lines here.
    """
    summary = Summary(objective_seconds)
    dropped: dict[str, int] = {}
    known = [line for line in lines if 'time' in line]
    began = min((float(line['time']) for line in known), default=float(0))
    for line in known:
        second = int(float(line['time']) - began)
        _note(summary, second, line)
        if line['event'] == Event.LINES_DROPPED:
            # Counted since the start of the process: the last one tells all.
            dropped[str(line.get('node'))] = int(line['lines'])
    summary.dropped_lines = sum(dropped.values())
    return summary


def _note(summary: Summary, second: int, line: Line) -> None:
    if line['event'] == Event.REQUEST_ENDED:
        _note_end(summary, second, line)
    elif line['event'] == Event.REQUEST_SENT:
        tokens = int(line.get('new_tokens') or 0)
        summary.sent_tokens[str(line['server'])][second] += tokens


def _note_end(summary: Summary, second: int, line: Line) -> None:
    summary.ends[second][_end_of(summary, line)] += 1
    workspace = str(line.get('workspace') or 'none')
    waited = float(line.get('waited_seconds') or 0)
    summary.waits[workspace].seconds.append(waited)


def _end_of(summary: Summary, line: Mapping[str, object]) -> str:
    reason = str(line.get('reason') or '')
    if line.get('status') or reason:
        return reason.partition(':')[0] or f'status {line["status"]}'
    first = line.get('first_seconds')
    late = isinstance(first, float) and first > summary.objective_seconds
    return LATE if late else SERVED
