"""Spacing of prompts, so that streams don't pause for too long.

Each step of an engine decodes one token of every stream, and a step that also
prefills a chunk takes several times as long. Prompts that are prefilled one
right after the other make all steps of an event long ones.
"""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.admission.engine_report import EngineReport
from sardinetrack.admission.order import QueuedAhead
from sardinetrack.admission.pace import PrefillEstimator
from sardinetrack.admission.pause_limit import PauseLimit
from sardinetrack.admission.prefill_rate import PrefillRate
from sardinetrack.admission.recent_pause import RecentPause
from sardinetrack.admission.running import RunningRequests
from sardinetrack.admission.stream_pace import StreamPace
from sardinetrack.placement.step_pace import MAX_PAUSE_FRACTION

MAX_TRANSIT_SECONDS: Final = 0.02
"""From a grant until its prompt shows in the engine's report; usually 5 ms."""
RECHECK_SECONDS: Final = 0.05
"""Interval at which an unconfirmed end of prefill is estimated again, that of
the reports: shorter timers would only wake the side for nothing."""


class PrefillSpacing:
    """Decides when an engine may prefill the next prompt; reads no clock.

    Prefill counts as one run until the engine has only decoded for a while.
    """

    def __init__(
        self, running: RunningRequests, estimator: PrefillEstimator
    ) -> None:
        """Start with an unknown pace of steps.

        :param running: the requests at the engine.
        """
        self._estimator = estimator
        self.stream_pace = StreamPace()
        self._running = running
        self._run_tokens = 0
        self.recent_pause = RecentPause()
        self._rate = PrefillRate()
        self._granted_seconds = -math.inf
        self._decodes_since_seconds = math.inf

    def observe(self, now: float, report: EngineReport) -> None:
        """Apply a report of the engine."""
        self.stream_pace.observe(now, report)
        self._rate.observe(now, is_prefilling=report.is_prefilling)
        if self.is_binding(now) and self._rate.tokens:
            self._estimator.max_rate_tokens = self._rate.tokens
        if report.is_prefilling:
            self._decodes_since_seconds = math.inf
        elif now >= self._granted_seconds + MAX_TRANSIT_SECONDS:
            self._decodes_since_seconds = min(self._decodes_since_seconds, now)

    def reset(self) -> None:
        """Forget the engine's pace: it has restarted."""
        self.stream_pace.reset()
        self._run_tokens = 0
        self.recent_pause = RecentPause()
        self._rate = PrefillRate()
        self._granted_seconds = -math.inf
        self._decodes_since_seconds = math.inf

    def is_binding(self, now: float) -> bool:
        """Whether prompts may have to wait for the spacing."""
        return self._limit(now).binds

    def free_at_seconds(self, now: float, tokens: float) -> float:
        """Return when a prompt may be granted; in the past if it may now.

        :param tokens: prompt tokens to prefill.
        """
        limit = self._limit(now)
        if not limit.binds or not tokens:
            return -math.inf
        if limit.allows(self._run_tokens + tokens):
            return -math.inf
        return self._run_over_seconds(now, limit.break_seconds(tokens))

    def wait_seconds(self, now: float, tokens: float) -> float:
        """Estimate how long a prompt that is next waits for the spacing."""
        return max(0, self.free_at_seconds(now, tokens) - now)

    def breaks_seconds(self, now: float, queued: QueuedAhead) -> float:
        """Estimate the sum of the breaks between waiting prompts."""
        limit = self._limit(now)
        if not limit.binds or not queued.tokens:
            return 0
        breaks = float(queued.requests)
        if limit.run_tokens:
            breaks = min(breaks, queued.tokens / limit.run_tokens)
        return breaks * limit.break_seconds(limit.run_tokens)

    def granted(self, now: float, tokens: int) -> None:
        """Count a prompt, before it is added to the estimated backlog."""
        if not tokens:
            return
        limit = self._limit(now)
        if not limit.binds:
            self._estimator.max_rate_tokens = math.inf
        if self._run_over_seconds(now, limit.break_seconds(tokens)) <= now:
            self._run_tokens = 0
        self._run_tokens += tokens
        self.recent_pause.record(now, limit.pause_seconds(self._run_tokens))
        self._rate.granted(tokens)
        self._granted_seconds = now
        self._decodes_since_seconds = math.inf

    def _limit(self, now: float) -> PauseLimit:
        return PauseLimit(
            self.stream_pace.pace(now),
            MAX_PAUSE_FRACTION * self._running.pause_objective_seconds,
            self._rate.tokens or self._estimator.rate_tokens,
        )

    def _run_over_seconds(self, now: float, break_seconds: float) -> float:
        """Return when the engine will have only decoded for a while.

        The estimated end of a prefill is tens of milliseconds early where the
        engine is slow for a moment, which is longer than the break. The end
        therefore counts from the last first event, or from a report that shows
        no prefill; until one of them comes the run is not over.
        """
        if not self._estimator.is_pending:
            prefilled_at = self._estimator.last_first_event_seconds
            return (
                min(prefilled_at, self._decodes_since_seconds) + break_seconds
            )
        if self._decodes_since_seconds < math.inf:
            return self._decodes_since_seconds + break_seconds
        estimated = self._estimator.prefilled_at_seconds(now) + break_seconds
        return max(estimated, now + RECHECK_SECONDS)
