"""Log lines on how an engine's time was used."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.admission.usage import EngineActivity, EngineUsage
from sardinetrack.logs.events import Event, EventLog

USAGE_SECONDS: Final = 2.0
"""Interval between two log lines of a side."""
_DIGITS: Final = 3
_MAX_WORKSPACES: Final = 8
"""Waiting workspaces that one line names, the least served ones."""


class UsageLog:
    """Logs one line an interval, and sums up for the metrics."""

    def __init__(self, log: EventLog) -> None:
        """Start with no time counted.

        :param log: receives the lines.
        """
        self.seconds: defaultdict[EngineActivity, float] = defaultdict(float)
        """Total since the start of this process, by use."""
        self._log = log
        self._logged_seconds = float(0)

    def log_if_due(self, now: float, admission: PrefillAdmission) -> None:
        """Write a line if one is due and permits were requested."""
        span_seconds = now - self._logged_seconds
        if span_seconds < USAGE_SECONDS:
            return
        usage = admission.usage
        admission.usage = usage.next_report(now)
        self._logged_seconds = now
        for use, seconds in usage.seconds.items():
            self.seconds[use] += seconds
        if usage.granted or usage.refused_at_once:
            self._write(now, span_seconds, usage, admission)

    def _write(
        self,
        now: float,
        span_seconds: float,
        usage: EngineUsage,
        admission: PrefillAdmission,
    ) -> None:
        begun = max(1, usage.begun)
        queued = admission.queued_workspaces(now)
        self._log.write(
            Event.ENGINE_USED,
            span_seconds=round(span_seconds, _DIGITS),
            seconds={
                use.value: round(seconds, _DIGITS)
                for use, seconds in usage.seconds.items()
            },
            granted=usage.granted,
            granted_tokens=usage.granted_tokens,
            refused_at_once=usage.refused_at_once,
            refused_late=usage.refused_late,
            begin_seconds=round(usage.begin_seconds / begun, _DIGITS),
            expected_seconds=round(usage.expected_seconds / begun, _DIGITS),
            rate_tokens=int(admission.rate_tokens),
            running=admission.running,
            slots_left=admission.slots_left,
            held_seconds=round(admission.held_seconds, _DIGITS),
            token_seconds=round(admission.batch.token_seconds, 4),
            slots_part=round(admission.batch.part, 2),
            granted_service=dict(
                usage.granted_service.most_common(_MAX_WORKSPACES)
            ),
            waiting_workspaces=[
                (
                    one.workspace,
                    int(one.service_tokens),
                    int(one.lifted_tokens),
                    one.waiting,
                )
                for one in queued[:_MAX_WORKSPACES]
            ],
        )
