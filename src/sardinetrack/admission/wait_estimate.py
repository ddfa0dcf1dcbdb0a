"""Estimates how long a request waits at an engine for its grant."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from sardinetrack.admission.cold_start import ColdStartLimiter
from sardinetrack.admission.order import QueuedAhead
from sardinetrack.admission.pace import PrefillEstimator
from sardinetrack.admission.prefill_ahead import PrefillAhead
from sardinetrack.admission.request import AdmissionRequest
from sardinetrack.admission.running import RunningRequests
from sardinetrack.admission.spacing import PrefillSpacing
from sardinetrack.admission.waiting import (
    WaitingRequest,
    WaitQueue,
    tokens_of,
)


class WaitEstimate:
    """Takes the longest of the waits for prefill, slots and cold start."""

    def __init__(
        self,
        estimator: PrefillEstimator,
        running: RunningRequests,
        ahead: PrefillAhead,
        spacing: PrefillSpacing,
        cold_start: ColdStartLimiter,
    ) -> None:
        """Read the state of one engine's admission."""
        self._estimator = estimator
        self._running = running
        self._ahead = ahead
        self._spacing = spacing
        self._cold_start = cold_start

    def next_seconds(self, now: float, queued: QueuedAhead) -> float:
        """Estimate the wait behind some requests until a prefill begins."""
        begins_seconds = max(
            self._estimator.backlog_seconds(now),
            self._spacing.wait_seconds(now, 1),
        )
        return self._longest(now, begins_seconds, queued)

    def of_expired(
        self,
        now: float,
        queue: WaitQueue,
        expired: Sequence[WaitingRequest],
    ) -> Iterator[tuple[WaitingRequest, float]]:
        """Estimate how long each of some requests would have waited further.

        They are refused one by one; a refused one no longer counts as ahead.

        :param queue: without them.
        """
        tokens = queue.tokens + tokens_of(expired)
        queued = len(queue) + len(expired)
        for one in expired:
            tokens -= one.request.prefill_tokens
            queued -= 1
            yield one, self.next_seconds(now, QueuedAhead(tokens, queued))

    def request_seconds(
        self, now: float, request: AdmissionRequest, queued: QueuedAhead
    ) -> float:
        """Estimate the wait of a request that arrives now for its grant."""
        begins_seconds = max(
            0,
            self._ahead.excess_seconds(now, request),
            self._spacing.wait_seconds(now, request.prefill_tokens),
        )
        return self._longest(now, begins_seconds, queued)

    def _longest(
        self, now: float, begins_seconds: float, queued: QueuedAhead
    ) -> float:
        breaks_seconds = self._spacing.breaks_seconds(now, queued)
        queued_seconds = queued.tokens / self._estimator.rate_tokens
        return max(
            begins_seconds + queued_seconds + breaks_seconds,
            self._running.slot_seconds(queued.requests),
            self._cold_start.wait_seconds(now, queued.requests),
        )
