"""What speaks for and against one part of prompts."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from sardinetrack.quarantine.api import PartReport, PartStatus


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """Crashes in a row after which a part is suspected, and blocked."""

    suspect: int
    block: int


LIMITS: Final = CrashLimits(suspect=1, block=3)
ANSWERED_LIMITS: Final = CrashLimits(suspect=3, block=5)
"""The same for a part that engines have responded to lately.

Prompts of many callers begin alike. In a fleet whose engines crash for another
reason, the part that they share is there at each crash.
"""
ANSWERED_SECONDS: Final = 600.0
"""How long a response speaks for a part."""
INITIAL_BLOCK_SECONDS: Final = 60.0
BLOCK_FACTOR: Final = 4
MAX_BLOCK_SECONDS: Final = 86_400.0
"""After each block one request is sent, which may cost an engine."""
RETENTION_SECONDS: Final = 600.0
"""How long a record is kept after the end of a block, or its last crash."""
_MAX_STEPS: Final = 8
_NEWS_SECONDS: Final = 1.0


@dataclass(slots=True)
class PartRecord:
    """Crashes in a row, and the last response; times are monotonic."""

    crashes: int = 0
    crashed_seconds: float = -math.inf
    answered_seconds: float = -math.inf

    @property
    def crashes_in_a_row(self) -> int:
        """Crashes since the last response."""
        cleared = self.answered_seconds >= self.crashed_seconds
        return 0 if cleared else self.crashes

    def answered_lately(self, now: float) -> bool:
        """Whether an engine has lately begun to respond to the part."""
        return now - self.answered_seconds <= ANSWERED_SECONDS

    def status(self, now: float) -> PartStatus:
        """Return how requests with the part are treated."""
        if self.blocked_seconds(now) > 0:
            return PartStatus.BLOCKED
        if self.crashes_in_a_row >= self._limits(now).suspect:
            return PartStatus.SUSPECT
        return PartStatus.FREE

    def blocked_seconds(self, now: float) -> float:
        """Return for how long requests with the part are refused."""
        return max(0, self.crashed_seconds + self._block_seconds(now) - now)

    def add_crash(self, now: float, crashes: int) -> None:
        """Record a crash.

        :param crashes: in a row, this one included.
        """
        if self.crashes_in_a_row:
            crashes = max(crashes, self.crashes)
        self.crashes = crashes
        self.crashed_seconds = now

    def add_response(self, now: float) -> None:
        """Record that an engine has begun to respond."""
        self.answered_seconds = max(self.answered_seconds, now)

    def merge(self, now: float, report: PartReport) -> bool:
        """Apply the report of another process.

        :return: whether it changes what this record says.
        """
        before = (self.crashes_in_a_row, self.crashed_seconds)
        answered_before = self.answered_lately(now)
        if report.answered_ago_seconds is not None:
            self.add_response(now - report.answered_ago_seconds)
        crashed_seconds = now - report.crashed_ago_seconds
        is_later = crashed_seconds > self.crashed_seconds
        is_new = is_later or report.crashes > self.crashes_in_a_row
        # A report from before the last response would revive what it refutes.
        is_refuted = crashed_seconds <= self.answered_seconds
        if report.crashes and is_new and not is_refuted:
            self.add_crash(
                max(crashed_seconds, self.crashed_seconds), report.crashes
            )
        is_news = before[0] != self.crashes_in_a_row
        is_news |= self.crashed_seconds - before[1] > _NEWS_SECONDS
        return is_news or answered_before != self.answered_lately(now)

    def report(self, now: float, part: str) -> PartReport:
        """Return a report of this record."""
        crashes = self.crashes_in_a_row
        answered_ago = now - self.answered_seconds
        return PartReport(
            part,
            crashes,
            now - self.crashed_seconds if crashes else 0,
            answered_ago if math.isfinite(answered_ago) else None,
        )

    def is_expired(self, now: float) -> bool:
        """Whether nothing depends on this record any more."""
        kept_seconds = RETENTION_SECONDS + self._block_seconds(now)
        return now - self.crashed_seconds > kept_seconds

    def _limits(self, now: float) -> CrashLimits:
        return ANSWERED_LIMITS if self.answered_lately(now) else LIMITS

    def _block_seconds(self, now: float) -> float:
        """Return the length of the block that follows the last crash."""
        more_crashes = self.crashes_in_a_row - self._limits(now).block
        if more_crashes < 0:
            return 0
        factor: int = BLOCK_FACTOR ** min(more_crashes, _MAX_STEPS)
        return min(INITIAL_BLOCK_SECONDS * factor, MAX_BLOCK_SECONDS)
