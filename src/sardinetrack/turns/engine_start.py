"""The current start of a side's engine, as the entries report it."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import replace
from enum import Enum, auto
from typing import Final

from sardinetrack.topology.cold import ColdEstimate, ColdPeriod
from sardinetrack.topology.starts import UNKNOWN_START_HASH, ServerStart
from sardinetrack.turns.messages import (
    ServerStarted,
    decode_start,
    encode_start,
)

_SECOND: Final = 1.0
_MAX_RECORDED_PERMITS: Final = 1000


class StartUpdate(Enum):
    """What an entry's report of a start meant to the side."""

    BEHIND = auto()
    """The entry knows only of a former start."""
    KNOWN = auto()
    RENEWED = auto()
    """The engine has restarted."""


class EngineStarts:
    """The engine's current start, its cold period, and consecutive starts."""

    def __init__(self) -> None:
        """Start without a known start."""
        self.start: ServerStart | None = None
        self.consecutive_cold_starts = 0
        """Consecutive starts that each ended before the engine was warm."""
        self._estimate = ColdEstimate()
        self._permit_times: deque[float] = deque(maxlen=_MAX_RECORDED_PERMITS)

    @property
    def start_hash(self) -> int:
        """Hash of the current start; see ``ServerStart.start_hash``."""
        return (
            UNKNOWN_START_HASH if self.start is None else self.start.start_hash
        )

    def hash_of(self, started_milliseconds: int | None) -> int:
        """Hash a start that the engine itself reports."""
        if self.start is None:
            return UNKNOWN_START_HASH
        reported = replace(
            self.start, started_milliseconds=started_milliseconds
        )
        return reported.start_hash

    @property
    def cold(self) -> ColdPeriod:
        """How long the engine's cold start lasts."""
        return self._estimate.period

    def message(self, now: float) -> ServerStarted:
        """Encode the current start for an entry.

        :raises ValueError: no start is known yet.
        """
        if self.start is None:
            raise ValueError('no start of the engine is known yet')
        return encode_start(self.start, now, self._estimate)

    def update(self, now: float, message: ServerStarted) -> StartUpdate:
        """Apply an entry's report."""
        reported, known = decode_start(message), self.start
        if known is not None and reported.older_than(known):
            return (
                StartUpdate.BEHIND
                if known.supersedes(reported)
                else StartUpdate.KNOWN
            )
        restarted = known is not None and reported.supersedes(known)
        if restarted:
            self._count_start(now)
            self._estimate = replace(
                self._estimate,
                assumed_until_seconds=-math.inf,
            )
        newer = known is None or reported.revision != known.revision
        self._update_cold(now, message, newer=newer or restarted)
        self.start = reported
        return StartUpdate.RENEWED if restarted else StartUpdate.KNOWN

    def record_permit(self, now: float) -> None:
        """Record when a permit was granted."""
        self._permit_times.append(now)

    @property
    def permits_last_second(self) -> int:
        """Permits granted in the second that ended with the last one."""
        if not self._permit_times:
            return 0
        since_seconds = self._permit_times[-1] - _SECOND
        return sum(at > since_seconds for at in self._permit_times)

    def _count_start(self, now: float) -> None:
        """Count consecutive starts that ended before the engine was warm.

        The end of a start is detected seconds later, so the time of the last
        permit is taken for it.
        """
        last_seconds = self._permit_times[-1] if self._permit_times else now
        ended_cold = last_seconds < self.cold.until_seconds
        self.consecutive_cold_starts = (
            self.consecutive_cold_starts + 1 if ended_cold else 1
        )

    def _update_cold(
        self,
        now: float,
        message: ServerStarted,
        *,
        newer: bool,
    ) -> None:
        """Update how long the engine's cold start lasts.

        For one record of the instance list, the entry that read it first is
        closest to the truth. Assumed cold periods were observed by each entry
        at its own time; the latest one counts.
        """
        reported_until = now + message.cold_seconds
        if not newer or not message.cold_seconds:
            reported_until = min(
                reported_until,
                self._estimate.reported_until_seconds,
            )
        assumed_until = now + message.assumed_cold_seconds
        if not message.assumed_cold_seconds:
            assumed_until = -math.inf
        self._estimate = ColdEstimate(
            reported_until,
            max(assumed_until, self._estimate.assumed_until_seconds),
            message.cold_per_second,
        )
