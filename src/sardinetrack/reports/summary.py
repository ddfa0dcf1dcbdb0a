"""Aggregate a run's log lines by second, outcome and workspace."""

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
_MEDIAN_INDEX: Final = 49
_P95_INDEX: Final = 94
MAX_WORKSPACES: Final = 12
"""Workspaces shown by name: those with the most requests."""


@dataclass(slots=True)
class WaitTimes:
    """How long the requests of one workspace waited for permits."""

    seconds: list[float] = field(default_factory=list)

    @property
    def median_seconds(self) -> float:
        """Half of the requests waited no longer."""
        return self._quantile(_MEDIAN_INDEX)

    @property
    def p95_seconds(self) -> float:
        """Nineteen of twenty requests waited no longer."""
        return self._quantile(_P95_INDEX)

    def _quantile(self, index: int) -> float:
        if len(self.seconds) < 2:
            return sum(self.seconds)
        return quantiles(self.seconds, n=_PERCENTILES)[index]


@dataclass(slots=True)
class Summary:
    """Statistics of a run; seconds count from its first line."""

    objective_seconds: float
    """A request whose first event comes later than this is late."""
    outcomes: defaultdict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    """By second: requests served, late, or refused by reason."""
    waits: defaultdict[str, WaitTimes] = field(
        default_factory=lambda: defaultdict(WaitTimes),
    )
    """By workspace."""
    sent_tokens: defaultdict[str, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    """By server and second: prompt tokens sent to it for prefill."""
    dropped_lines: int = 0

    @property
    def totals(self) -> Counter[str]:
        """Requests by outcome."""
        return sum(self.outcomes.values(), Counter())

    @property
    def busiest_workspaces(self) -> list[str]:
        """Workspaces with the most requests, in descending order."""
        by_count = sorted(
            self.waits,
            key=lambda name: len(self.waits[name].seconds),
            reverse=True,
        )
        return by_count[:MAX_WORKSPACES]


def summarise(lines: Iterable[Line], objective_seconds: float) -> Summary:
    """Aggregate the lines of all processes of a run.

    Clocks of instances may differ by seconds, and the times of their lines with
    them.
    """
    summary = Summary(objective_seconds)
    dropped: dict[str, int] = {}
    timed = [line for line in lines if 'time' in line]
    started = min((float(line['time']) for line in timed), default=float(0))
    for line in timed:
        second = int(float(line['time']) - started)
        _count_line(summary, second, line)
        if line['event'] == Event.LINES_DROPPED:
            # The count is cumulative from the start of the process, so the
            # last one is the total.
            dropped[str(line.get('node'))] = int(line['lines'])
    summary.dropped_lines = sum(dropped.values())
    return summary


def _count_line(summary: Summary, second: int, line: Line) -> None:
    if line['event'] == Event.REQUEST_ENDED:
        _count_outcome(summary, second, line)
    elif line['event'] == Event.REQUEST_SENT:
        tokens = int(line.get('new_tokens') or 0)
        summary.sent_tokens[str(line['server'])][second] += tokens


def _count_outcome(summary: Summary, second: int, line: Line) -> None:
    summary.outcomes[second][_outcome_of(summary, line)] += 1
    workspace = str(line.get('workspace') or 'none')
    waited = float(line.get('waited_seconds') or 0)
    summary.waits[workspace].seconds.append(waited)


def _outcome_of(summary: Summary, line: Mapping[str, object]) -> str:
    reason = str(line.get('reason') or '')
    if line.get('status') or reason:
        return reason.partition(':')[0] or f'status {line["status"]}'
    first = line.get('first_seconds')
    is_late = isinstance(first, float) and first > summary.objective_seconds
    return LATE if is_late else SERVED
