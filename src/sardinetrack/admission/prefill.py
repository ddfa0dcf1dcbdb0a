"""Admission to one model engine by the prompt tokens it has to prefill.

An engine admits requests as they come, knows no priorities and prefills long
prompts while it decodes all other responses. A request can't be taken back
from it, so it gets only as much as keeps it busy; the rest waits here, where
the order can still be chosen: least served workspace first.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from sardinetrack.admission.batch import BatchLimit
from sardinetrack.admission.cold_start import ColdStartLimiter
from sardinetrack.admission.engine_report import EngineReport
from sardinetrack.admission.order import ServiceOrder
from sardinetrack.admission.pace import PrefillEstimator
from sardinetrack.admission.request import (
    AdmissionDecision,
    AdmissionRequest,
    Granted,
    Refused,
)
from sardinetrack.admission.running import RunningRequests
from sardinetrack.admission.usage import EngineActivity, EngineUsage
from sardinetrack.admission.waiting import WaitingRequest, WaitQueue, tokens_of
from sardinetrack.placement.step_pace import StepPace
from sardinetrack.topology.cold import ColdPeriod

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
_MIN_RETRY_SECONDS: Final = 0.25


class PrefillAdmission:
    """Decides which request goes to the engine next; reads no clock."""

    def __init__(self, slots: int, memory_tokens: int) -> None:
        """Start idle.

        :param slots: requests that the engine runs concurrently.
        :param memory_tokens: tokens that fit into its KV cache.
        """
        self.estimator = PrefillEstimator()
        self.usage = EngineUsage()
        self.cold_start = ColdStartLimiter()
        self._fraction = float(1)
        self._running = RunningRequests(slots, memory_tokens)
        self._queue = WaitQueue()
        self._order = ServiceOrder(self._queue)

    def resize(
        self,
        slots: int,
        memory_tokens: int,
        share: float = 1,
    ) -> None:
        """Change the engine's size to that of the configuration.

        :param share: the fraction of the engine that is granted here.
        """
        self._running.resize(
            max(1, int(slots * share)),
            int(memory_tokens * share),
        )
        self._fraction = share

    def set_cold_period(
        self, now: float, cold_period: ColdPeriod
    ) -> Sequence[AdmissionDecision]:
        """Set how long the engine stays cold, and its rate until then."""
        self.cold_start.update_cold_period(cold_period)
        return self._grant_next(now)

    @property
    def running(self) -> int:
        """Number of requests at the engine."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait here."""
        return len(self._queue)

    @property
    def slots_left(self) -> int:
        """Number of free slots."""
        return self._running.slots_left

    @property
    def held_seconds(self) -> float:
        """Mean time a request occupies its slot; 0 until one has ended."""
        return self._running.held_seconds

    @property
    def rate_tokens(self) -> float:
        """Prompt tokens that the engine prefills a second."""
        return self.estimator.rate_tokens

    def prefix_retention_seconds(self, now: float) -> float:
        """Estimate how long the engine caches a prefix after its last use."""
        return self._running.retention_seconds(now)

    @property
    def batch(self) -> BatchLimit:
        """The limit on the responses that it decodes concurrently."""
        return self._running.batch

    def wait_seconds(self, now: float) -> float:
        """Estimate how long a request waits until its prefill begins."""
        return self._wait_behind(now, self._queue.tokens, self.waiting)

    def _wait_behind(
        self,
        now: float,
        queued_tokens: int,
        queued: int,
    ) -> float:
        backlog_seconds = self.estimator.backlog_seconds(now)
        prefill_seconds = backlog_seconds + queued_tokens / self.rate_tokens
        return max(
            prefill_seconds,
            self._running.slot_seconds(queued),
            self.cold_start.wait_seconds(now, queued),
        )

    def handle_restart(self, now: float) -> Sequence[AdmissionDecision]:
        """Handle a restart of the engine.

        Its requests are lost, and its rate was that of another process. The
        requests that wait here were never sent; they go on waiting, for an
        idle engine. The service that workspaces received still counts.
        """
        self.estimator = PrefillEstimator()
        self._running.clear()
        return self._grant_next(now)

    @property
    def step_pace(self) -> StepPace:
        """The pace of the engine's steps; not estimated yet."""
        return StepPace()

    def reset_step_pace(self) -> None:
        """Forget the pace of the engine's steps: the engine has restarted."""

    def observe_engine(
        self, now: float, report: EngineReport
    ) -> Sequence[AdmissionDecision]:
        """Apply a report of the engine; return the grants that now fit."""
        return ()

    def update_served_tokens(
        self,
        now: float,
        entry: str,
        served: Iterable[tuple[str, float]],
    ) -> None:
        """Apply an entry's report of service received at all servers.

        :param served: workspaces and tokens.
        """
        self._order.update_served(now, entry, served)

    def request_permit(
        self, now: float, request: AdmissionRequest
    ) -> Sequence[AdmissionDecision]:
        """Grant, refuse or queue a request for a permit."""
        served = ((request.workspace, request.served_tokens),)
        self._order.update_served(now, request.entry, served)
        self.batch.requested(
            now, request.output_tokens, request.until_deadline_seconds
        )
        self._order.join(now, request.workspace)
        wait_seconds = self._wait_seconds(now, request)
        max_wait_seconds = self._max_wait_seconds(request)
        if wait_seconds > max_wait_seconds:
            return (self._refusal(request, wait_seconds, float(0)),)
        self._queue.put(WaitingRequest(request, now, now + max_wait_seconds))
        return self._grant_next(now)

    def _max_wait_seconds(self, request: AdmissionRequest) -> float:
        """Return how long a request can wait here and still be in time.

        The time it needs after its grant depends on its length: a short prompt
        can wait where a long one has to begin. A request that would be late
        even at an idle engine may still wait a little; otherwise the longest
        prompts would be refused whenever the engine prefills anything.
        """
        if request.is_past_objective:
            return request.max_wait_seconds
        prefill_seconds = (
            MIN_BACKLOG_SECONDS + request.prefill_tokens / self.rate_tokens
        )
        needs_seconds = max(self._ahead_seconds, prefill_seconds)
        spare_seconds = (
            request.first_event_due_seconds
            - needs_seconds
            - self.estimator.lag_seconds
        )
        floor_seconds = MAX_WAIT_FLOOR_SECONDS
        return min(request.max_wait_seconds, max(spare_seconds, floor_seconds))

    def release(
        self,
        now: float,
        permit_id: str,
        *,
        is_complete: bool = False,
    ) -> Sequence[AdmissionDecision]:
        """Drop a request, whether it runs or waits.

        :param is_complete: its caller has the complete response.
        """
        if permit_id in self._running:
            return self.ended(now, permit_id, is_complete=is_complete)
        return self._grant_next(now) if self._queue.remove(permit_id) else ()

    def prefill_finished(
        self, now: float, permit_id: str
    ) -> Sequence[AdmissionDecision]:
        """Handle the first event: the prompt is prefilled."""
        running = self._running.first_event(now, permit_id)
        if running is None:
            return ()
        self.usage.record_first_event(
            now - running.granted_seconds,
            running.expected_seconds,
        )
        self.estimator.first_event(now, permit_id)
        return self._grant_next(now)

    def ended(
        self,
        now: float,
        permit_id: str,
        *,
        is_complete: bool = True,
    ) -> Sequence[AdmissionDecision]:
        """Free the slot and the KV cache of a request.

        :param is_complete: its caller has the complete response.
        """
        if not self._running.ended(now, permit_id, complete=is_complete):
            return ()
        self.estimator.ended(now, permit_id)
        return self._grant_next(now)

    def tick(self, now: float) -> Sequence[AdmissionDecision]:
        """Refuse requests whose maximum wait is over; grant what now fits."""
        expired = self._queue.take_expired(now)
        late = self._refusals(now, expired) if expired else ()
        return (*late, *self._grant_next(now))

    def _refusals(
        self,
        now: float,
        expired: Sequence[WaitingRequest],
    ) -> Sequence[AdmissionDecision]:
        """Refuse one by one; a refused request no longer counts as ahead."""
        late: list[AdmissionDecision] = []
        queued_tokens = self._queue.tokens + tokens_of(expired)
        queued = self.waiting + len(expired)
        for one in expired:
            queued_tokens -= one.request.prefill_tokens
            queued -= 1
            waited_seconds = now - one.queued_seconds
            wait_seconds = self._wait_behind(now, queued_tokens, queued)
            late.append(
                self._refusal(one.request, wait_seconds, waited_seconds)
            )
        return late

    def next_deadline_seconds(self, now: float) -> float | None:
        """Return when ``tick`` is due, on the monotonic clock.

        A request away from its home server has a far shorter maximum wait than
        those before it in its queue; and no first event marks the moment at
        which the engine has prefilled enough for the next request.
        """
        dues = [one.until_seconds for one in self._queue]
        if not dues:
            return None
        first = self._queue.first(self._order.next_workspace(now))
        excess_seconds = self._excess_seconds(now, first)
        cold_seconds = self.cold_start.wait_seconds(now, 0)
        if max(excess_seconds, cold_seconds) > 0:
            dues.append(now + max(excess_seconds, cold_seconds))
        return min(dues)

    def _grant_next(self, now: float) -> Sequence[AdmissionDecision]:
        granted: list[AdmissionDecision] = []
        while self._queue.workspaces:
            workspace = self._order.next_workspace(now)
            if not self._fits(now, self._queue.first(workspace)):
                break
            granted.append(self._grant(now, self._queue.take_first(workspace)))
        self.usage.record_activity(now, self._activity(now))
        return granted

    def _activity(self, now: float) -> EngineActivity:
        prefills = self.estimator.backlog_seconds(now) > 0
        if not self._queue.workspaces:
            return self._activity_without_queue(prefills=prefills)
        if prefills:
            return EngineActivity.FULL
        if not self.slots_left:
            return EngineActivity.SLOTS_EXHAUSTED
        if self.cold_start.is_limited(now):
            return EngineActivity.COLD_START_LIMITED
        return EngineActivity.MEMORY_EXHAUSTED

    def _activity_without_queue(self, *, prefills: bool) -> EngineActivity:
        if not self._running:
            return EngineActivity.IDLE
        return (
            EngineActivity.PREFILLING if prefills else EngineActivity.DECODING
        )

    def _fits(self, now: float, request: AdmissionRequest) -> bool:
        if self.cold_start.free_at_seconds(now) > now:
            return False
        if not self._running:
            return True
        if not self.slots_left:
            return False
        if not self._running.has_memory(request):
            return False
        backlog_seconds = self.estimator.backlog_seconds(now)
        if backlog_seconds <= MIN_BACKLOG_SECONDS:
            return True
        prefill_seconds = request.prefill_tokens / self.rate_tokens
        return backlog_seconds + prefill_seconds <= self._ahead_seconds

    def _grant(
        self, now: float, request: AdmissionRequest
    ) -> AdmissionDecision:
        expected_seconds = self.estimator.first_event_seconds(
            now, request.prefill_tokens
        )
        self.cold_start.granted(now)
        self.estimator.granted(now, request.permit_id, request.prefill_tokens)
        self._running.add(now, request, expected_seconds)
        self.usage.record_grant(request.prefill_tokens)
        self._order.granted(now, request)
        return Granted(request.permit_id)

    def _wait_seconds(self, now: float, request: AdmissionRequest) -> float:
        """Estimate how long a request that arrives now waits for its grant."""
        ahead = self._order.ahead_of(now, request)
        queued_seconds = ahead.tokens / self.rate_tokens
        excess_seconds = max(0, self._excess_seconds(now, request))
        return max(
            excess_seconds + queued_seconds,
            self._running.slot_seconds(ahead.requests),
            self.cold_start.wait_seconds(now, ahead.requests),
        )

    def _excess_seconds(self, now: float, request: AdmissionRequest) -> float:
        """Return the backlog above that at which a request may be granted.

        A long prompt may be granted only when hardly any backlog is left.
        """
        prefill_seconds = request.prefill_tokens / self.rate_tokens
        allowed_seconds = max(
            MIN_BACKLOG_SECONDS, self._ahead_seconds - prefill_seconds
        )
        return self.estimator.backlog_seconds(now) - allowed_seconds

    @property
    def _ahead_seconds(self) -> float:
        return PREFILL_AHEAD_SECONDS * self._fraction

    def _refusal(
        self,
        request: AdmissionRequest,
        wait_seconds: float,
        waited_seconds: float,
    ) -> Refused:
        self.usage.record_refusal(waited_seconds)
        return Refused(
            request.permit_id,
            max(_MIN_RETRY_SECONDS, wait_seconds),
            waited_seconds,
            int(wait_seconds * self.rate_tokens),
        )
