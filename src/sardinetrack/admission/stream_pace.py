"""How long the steps of an engine take, from its own reports."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.engine_report import EngineReport, EngineRun
from sardinetrack.placement.step_pace import StepPace

FORGET_SECONDS: Final = 5.0
"""Time without a report after which the pace is unknown."""
_MAX_PAIR_SECONDS: Final = 0.25
"""Between two reports; in a longer time a whole prefill can go unseen. Reports
are 0.05 s apart while requests run."""
_MIN_RUNS: Final = 2
"""Runs in both reports. A stream grows by a whole event at a time, so one run
alone shows the number of steps badly."""
_AVERAGE_SECONDS: Final = 3.0
"""Span over which steps are averaged: several of the periods of 0.6 s in which
an engine that shares its machine is slow for a part."""
_AVERAGE_EVENTS: Final = 200.0
"""Events over which their size is averaged; it hardly changes."""
_ZERO: Final = float(0)
_MIN_SAMPLES: Final = 3
"""Samples before a step counts as known; one may lie in a slow part."""


class _StepAverage:
    """Mean duration of one kind of step, and its mean deviation.

    Pairs of reports are added up until they contain the steps of one event, and
    then give a sample. Where a step takes as long as the time between two
    reports, many pairs show no growth. With these left out, a simulated step
    with prefill looked as if it took 40 ms in place of 58.
    """

    def __init__(self) -> None:
        self.samples = 0
        self._seconds = _ZERO
        self._steps = _ZERO
        self._deviation_seconds = _ZERO
        self._sample_seconds = _ZERO
        self._sample_steps = _ZERO

    @property
    def is_known(self) -> bool:
        return self.samples >= _MIN_SAMPLES

    @property
    def mean_seconds(self) -> float:
        return self._seconds / self._steps if self._steps else 0

    @property
    def deviation_seconds(self) -> float:
        return self._deviation_seconds / self._steps if self._steps else 0

    def add(self, seconds: float, steps: float, event_tokens: float) -> None:
        """Add a pair of reports."""
        self._sample_seconds += seconds
        self._sample_steps += steps
        if self._sample_steps >= max(1, event_tokens):
            self._close_sample()

    def _close_sample(self) -> None:
        seconds, steps = self._sample_seconds, self._sample_steps
        self._sample_seconds = _ZERO
        self._sample_steps = _ZERO
        kept = math.exp(-seconds / _AVERAGE_SECONDS)
        self.samples += 1
        self._seconds = self._seconds * kept + seconds
        self._steps = self._steps * kept + steps
        error_seconds = abs(seconds - steps * self.mean_seconds)
        self._deviation_seconds = self._deviation_seconds * kept + error_seconds


class _EventSize:
    """Mean tokens of an event."""

    def __init__(self) -> None:
        self._tokens = _ZERO
        self._events = _ZERO

    @property
    def tokens(self) -> float:
        return self._tokens / self._events if self._events else 0

    def add(self, growths: Sequence[_Growth]) -> None:
        """Add the growth of streams."""
        events = sum(one.events for one in growths)
        kept = math.exp(-events / _AVERAGE_EVENTS)
        self._events = self._events * kept + events
        self._tokens *= kept
        self._tokens += sum(one.tokens for one in growths)


@dataclass(frozen=True, slots=True)
class _Growth:
    """What a run has made from one report to the next."""

    tokens: int
    events: int


class StreamPace:
    """Estimates the pace of an engine's steps; reads no clock."""

    def __init__(self) -> None:
        """Start with an unknown pace."""
        self.reset()

    def reset(self) -> None:
        """Forget everything: the engine has restarted."""
        self._decode = _StepAverage()
        self._prefill = _StepAverage()
        self._event = _EventSize()
        self._report: EngineReport | None = None
        self._reported_seconds = -math.inf

    def observe(self, now: float, report: EngineReport) -> None:
        """Update the estimates from a report."""
        before, seconds = self._report, now - self._reported_seconds
        if before is not None and _is_restart(before, report):
            self.reset()
            before = None
        self._report = report
        self._reported_seconds = now
        if before is not None and 0 < seconds <= _MAX_PAIR_SECONDS:
            self._update(seconds, before, report)

    def pace(self, now: float) -> StepPace:
        """Return the pace; all 0 while it is unknown.

        Until a step without prefill was seen, at an engine that prefills
        without a break, it counts as one with prefill. The first break that
        follows from this shows how long it takes.
        """
        is_recent = now - self._reported_seconds <= FORGET_SECONDS
        if not (is_recent and self._prefill.is_known):
            return StepPace()
        prefill_seconds = self._prefill.mean_seconds
        decode = self._decode if self._decode.is_known else self._prefill
        return StepPace(
            self._event.tokens,
            min(decode.mean_seconds, prefill_seconds),
            prefill_seconds + self._prefill.deviation_seconds,
        )

    def _update(
        self, seconds: float, before: EngineReport, report: EngineReport
    ) -> None:
        growths = _growths(before.runs, report.runs)
        self._event.add(growths)
        if len(growths) < _MIN_RUNS or not _is_uniform(before, report):
            return
        average = self._prefill if report.is_prefilling else self._decode
        steps = sum(one.tokens for one in growths) / len(growths)
        average.add(seconds, steps, self._event.tokens)


def _growths(
    before: Sequence[EngineRun], after: Sequence[EngineRun]
) -> list[_Growth]:
    """Return the growth of the runs in both reports.

    A run that the engine has evicted and prefills again shrinks; it is left
    out.
    """
    old = {one.request_id: one for one in before}
    growths = [
        _Growth(
            one.tokens - old[one.request_id].tokens,
            one.events - old[one.request_id].events,
        )
        for one in after
        if one.request_id in old
    ]
    return [one for one in growths if one.tokens >= 0 and one.events >= 0]


def _is_uniform(before: EngineReport, report: EngineReport) -> bool:
    """Whether all steps between two reports were probably of one kind.

    A run that is new in the second report was prefilled in between, and the
    engine may have only decoded before or after that. In a simulation such
    pairs made a step with prefill look up to a quarter faster than it was.
    """
    new = {one.request_id for one in report.runs}
    new.difference_update(one.request_id for one in before.runs)
    return not new and before.is_prefilling is report.is_prefilling


def _is_restart(before: EngineReport, report: EngineReport) -> bool:
    started = (before.started_milliseconds, report.started_milliseconds)
    return None not in started and started[0] != started[1]
