"""Composes a side's load reports to its entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.logs.events import EventLog
from sardinetrack.placement.prefix_index import MAX_RETENTION_SECONDS
from sardinetrack.process.owner_tasks import keep_running
from sardinetrack.turns.engine_start import EngineStarts
from sardinetrack.turns.messages import SideReport

REPORT_INTERVAL_SECONDS: Final = 0.15
"""Interval of a side's load reports; an entry adds what it sent since."""
IDLE_REPORT_INTERVAL_SECONDS: Final = 0.45
"""Interval of the reports while nothing changes, as a heartbeat."""
_STEP_DIGITS: Final = 5
"""Steps take 5 to 60 ms."""


class LoadReporter:
    """Composes the reports that are due."""

    def __init__(
        self, admission: PrefillAdmission, starts: EngineStarts
    ) -> None:
        """Start with nothing reported."""
        self.new_prefixes: set[str] = set()
        """Shared prefixes of the requests permitted since the last report."""
        self._admission = admission
        self._starts = starts
        self._reported: tuple[float, int, int] | None = None
        self._reported_seconds = float(0)

    def next_report(self, now: float, entries: int) -> SideReport | None:
        """Return the report to send now; ``None`` if nothing has changed.

        The pace of the engine's steps varies a little with each poll, so a
        change of it alone is sent with the heartbeat.

        :param entries: number of connected entries to report.
        """
        wait_seconds = round(self._admission.wait_seconds(now), 2)
        load = (wait_seconds, self._admission.slots_left, entries)
        recent = now - self._reported_seconds < IDLE_REPORT_INTERVAL_SECONDS
        if load == self._reported and recent and not self.new_prefixes:
            return None
        self._reported = load
        self._reported_seconds = now
        return self._compose(now, *load)

    def _compose(
        self, now: float, wait_seconds: float, slots_left: int, entries: int
    ) -> SideReport:
        admission = self._admission
        pace = admission.step_pace(now)
        prefixes = tuple(self.new_prefixes)
        self.new_prefixes.clear()
        retention_seconds = admission.prefix_retention_seconds(now)
        return SideReport(
            wait_seconds,
            round(admission.rate_tokens),
            slots_left,
            entries,
            prefixes,
            self._starts.start_hash,
            round(min(MAX_RETENTION_SECONDS, retention_seconds), 1),
            round(pace.event_tokens, 2),
            round(pace.decode_step_seconds, _STEP_DIGITS),
            round(pace.prefill_step_seconds, _STEP_DIGITS),
            admission.running if pace.is_known else 0,
            round(admission.recent_pause_seconds(now), 3),
        )


async def report_regularly(report: Callable[[], None], log: EventLog) -> None:
    """Report at each interval until cancelled, also after an error."""
    await keep_running(partial(_report_forever, report), log, 'load reports')


async def _report_forever(report: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        report()
