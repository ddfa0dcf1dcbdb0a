"""How much prefill an engine gets ahead, and how long a request can wait."""

from __future__ import annotations

from typing import Final

from sardinetrack.admission.pace import PrefillEstimator
from sardinetrack.admission.request import AdmissionRequest

PREFILL_AHEAD_SECONDS: Final = 0.15
"""Prefill work that an engine gets ahead.

Enough that it never runs out of work for a round trip (3 ms) and a delayed
iteration of this process's event loop; short enough that a granted request
gets its first token within the users' shortest objective (0.5 s).
"""
MIN_BACKLOG_SECONDS: Final = 0.015
"""Prefill backlog below which the next prompt is granted whatever its size.

A grant, the request and a delayed iteration of an event loop take some 5 ms
together.
"""
MAX_WAIT_FLOOR_SECONDS: Final = 0.2
"""Maximum wait of a request that would be late even at an idle engine.

During that time the engine prefills what it got ahead, and one more request.
"""


class PrefillAhead:
    """Limits the backlog of an engine."""

    def __init__(self, estimator: PrefillEstimator) -> None:
        """Limit the backlog of an engine that is granted as a whole."""
        self._estimator = estimator
        self.fraction = float(1)
        """Fraction of the engine that is granted here."""

    @property
    def _seconds(self) -> float:
        return PREFILL_AHEAD_SECONDS * self.fraction

    def excess_seconds(self, now: float, request: AdmissionRequest) -> float:
        """Return the backlog above that at which a request may be granted.

        A long prompt may be granted only when hardly any backlog is left.
        """
        rate_tokens = self._estimator.rate_tokens
        prefill_seconds = request.prefill_tokens / rate_tokens
        allowed_seconds = max(
            MIN_BACKLOG_SECONDS, self._seconds - prefill_seconds
        )
        return self._estimator.backlog_seconds(now) - allowed_seconds

    def max_wait_seconds(self, request: AdmissionRequest) -> float:
        """Return how long a request can wait here and still be in time.

        The time it needs after its grant depends on its length: a short prompt
        can wait where a long one has to begin. A request that would be late
        even at an idle engine may still wait a little; otherwise the longest
        prompts would be refused whenever the engine prefills anything.
        """
        if request.is_past_objective:
            return request.max_wait_seconds
        prefill_seconds = (
            MIN_BACKLOG_SECONDS
            + request.prefill_tokens / self._estimator.rate_tokens
        )
        needs_seconds = max(self._seconds, prefill_seconds)
        spare_seconds = (
            request.first_event_due_seconds
            - needs_seconds
            - self._estimator.lag_seconds
        )
        floor_seconds = MAX_WAIT_FLOOR_SECONDS
        return min(request.max_wait_seconds, max(spare_seconds, floor_seconds))
