"""Log lines on an engine whose reports are lost, and return."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.turns.engine_connection import PollError

MIN_LINE_INTERVAL_SECONDS: Final = 2.0
"""Between two lines on lost reports.

Without it, an engine that responds to every other poll would cause a line for
each of them.
"""
_DIGITS: Final = 3


class EngineSilence:
    """Writes one line when reports are lost and one when they return."""

    def __init__(self, log: EventLog, engine: str) -> None:
        """Start before the first poll.

        :param engine: its address, written in the lines.
        """
        self.failed_polls = 0
        """Consecutive polls without a report."""
        self._log = log
        self._engine = engine
        self._heard_seconds: float | None = None
        self._lost_seconds = float(0)
        self._line_seconds = -math.inf
        self._is_logged = False

    def record_failure(self, now: float, error: PollError) -> None:
        """Record a poll without a report."""
        if not self.failed_polls:
            self._lost_seconds = now
        self.failed_polls += 1
        is_due = now - self._line_seconds >= MIN_LINE_INTERVAL_SECONDS
        if self._is_logged or not is_due:
            return
        self._is_logged = True
        self._line_seconds = now
        heard_seconds = self._heard_seconds
        self._log.write(
            Event.ENGINE_SILENT,
            engine=self._engine,
            outcome=error.outcome,
            cause=str(error),
            heard_seconds=None
            if heard_seconds is None
            else round(now - heard_seconds, _DIGITS),
        )

    def record_report(self, now: float) -> None:
        """Record a poll that brought a report."""
        if self._is_logged:
            self._log.write(
                Event.ENGINE_HEARD,
                engine=self._engine,
                silent_seconds=round(now - self._lost_seconds, _DIGITS),
                failed_polls=self.failed_polls,
            )
        self._is_logged = False
        self.failed_polls = 0
        self._heard_seconds = now
