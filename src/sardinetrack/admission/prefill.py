"""Admission to one model engine by the prompt tokens it has to prefill.

An engine admits requests as they come, knows no priorities and prefills long
prompts while it decodes all other responses. A request can't be taken back
from it, so it gets only as much as keeps it busy; the rest waits here, where
the order can still be chosen: least served workspace first.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from operator import attrgetter

from sardinetrack.admission.batch import BatchLimit
from sardinetrack.admission.cold_start import ColdStartLimiter
from sardinetrack.admission.engine_report import EngineReport
from sardinetrack.admission.order import (
    QueuedAhead,
    QueuedWorkspace,
    ServiceOrder,
)
from sardinetrack.admission.pace import PrefillEstimator
from sardinetrack.admission.prefill_ahead import PrefillAhead
from sardinetrack.admission.request import (
    AdmissionDecision,
    AdmissionRequest,
    Granted,
    Refused,
)
from sardinetrack.admission.running import RunningRequests
from sardinetrack.admission.spacing import PrefillSpacing
from sardinetrack.admission.usage import (
    EngineActivity,
    EngineUsage,
    activity_with_queue,
    activity_without_queue,
)
from sardinetrack.admission.wait_estimate import WaitEstimate
from sardinetrack.admission.waiting import WaitingRequest, WaitQueue
from sardinetrack.placement.step_pace import StepPace
from sardinetrack.topology.cold import ColdPeriod


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
        self._running = RunningRequests(slots, memory_tokens)
        self._ahead = PrefillAhead(self.estimator)
        self._spacing = PrefillSpacing(self._running, self.estimator)
        self._waits = WaitEstimate(
            self.estimator,
            self._running,
            self._ahead,
            self._spacing,
            self.cold_start,
        )
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
        self._ahead.fraction = share

    def set_cold_period(
        self, now: float, cold_period: ColdPeriod
    ) -> Sequence[AdmissionDecision]:
        """Set how long the engine stays cold, and its rate until then."""
        self.cold_start.update_cold_period(cold_period)
        return self._grant_next(now)

    def observe_engine(
        self, now: float, report: EngineReport
    ) -> Sequence[AdmissionDecision]:
        """Apply a report of the engine; grant what it shows to fit."""
        was_binding = self.is_spacing(now)
        self._spacing.observe(now, report)
        return self._grant_next(now) if was_binding else ()

    def is_spacing(self, now: float) -> bool:
        """Whether prompts may have to wait for the spacing."""
        return self._spacing.is_binding(now)

    def step_pace(self, now: float) -> StepPace:
        """Return the pace of the engine's steps; all 0 while unknown."""
        return self._spacing.stream_pace.pace(now)

    def recent_pause_seconds(self, now: float) -> float:
        """Return the longest pause that its prefill caused lately."""
        return self._spacing.recent_pause.seconds(now)

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
        """Mean time of a request in its slot; 0 until one has ended."""
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

    def queued_workspace(self, now: float, workspace: str) -> QueuedWorkspace:
        """Return what is believed of the service of a workspace."""
        return self._order.queued(now, workspace)

    def queued_workspaces(self, now: float) -> list[QueuedWorkspace]:
        """Return the waiting workspaces, the least served first."""
        queued = [
            self._order.queued(now, one) for one in self._queue.workspaces
        ]
        return sorted(queued, key=attrgetter('service_tokens'))

    def wait_seconds(self, now: float) -> float:
        """Estimate how long a request waits until its prefill begins."""
        return self._waits.next_seconds(
            now, QueuedAhead(self._queue.tokens, self.waiting)
        )

    def handle_restart(self, now: float) -> Sequence[AdmissionDecision]:
        """Handle a restart of the engine.

        Its requests are lost, and its rate was that of another process. The
        requests that wait here were never sent; they go on waiting, for an
        idle engine. The service that workspaces received still counts.
        """
        self.estimator.reset()
        self._spacing.reset()
        self._running.clear()
        return self._grant_next(now)

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
        if request.is_continuation:
            return (self._decide_continuation(now, request),)
        served = ((request.workspace, request.served_tokens),)
        self._order.update_served(now, request.entry, served)
        self.batch.requested(
            now, request.output_tokens, request.until_deadline_seconds
        )
        self._order.join(now, request.workspace, request.short_seconds)
        wait_seconds = self._waits.request_seconds(
            now, request, self._order.ahead_of(now, request)
        )
        max_wait_seconds = self._ahead.max_wait_seconds(request)
        if wait_seconds > max_wait_seconds:
            return (self._refusal(now, request, wait_seconds, float(0)),)
        self._queue.put(WaitingRequest(request, now, now + max_wait_seconds))
        return self._grant_next(now)

    def _decide_continuation(
        self, now: float, request: AdmissionRequest
    ) -> AdmissionDecision:
        """Grant or refuse a stream that continues here, without a queue.

        It prefills nothing and was charged where it began; behind others it
        would pause.
        """
        if self._has_slot(now, request):
            return self._grant(now, request)
        return self._refusal(now, request, self.wait_seconds(now), float(0))

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
        self, now: float, expired: Sequence[WaitingRequest]
    ) -> Sequence[AdmissionDecision]:
        return [
            self._refusal(
                now, one.request, wait_seconds, now - one.queued_seconds
            )
            for one, wait_seconds in self._waits.of_expired(
                now, self._queue, expired
            )
        ]

    def next_deadline_seconds(self, now: float) -> float | None:
        """Return when ``tick`` is due, on the monotonic clock.

        A request away from its home server has a far shorter maximum wait than
        those before it in its queue; and no first event marks the moment at
        which the engine has prefilled enough for the next request. One that
        has come to fit since the last decision is due now.
        """
        dues = [one.until_seconds for one in self._queue]
        if not dues:
            return None
        first = self._queue.first(self._order.next_workspace(now))
        due_seconds = max(
            self._ahead.excess_seconds(now, first),
            self.cold_start.wait_seconds(now, 0),
            self._spacing.wait_seconds(now, first.prefill_tokens),
        )
        if due_seconds > 0 or self._fits(now, first):
            dues.append(now + max(0, due_seconds))
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
            return activity_without_queue(self.running, prefills=prefills)
        first = self._queue.first(self._order.next_workspace(now))
        if self._has_room(now, first):
            return EngineActivity.SPACED
        return activity_with_queue(
            self.slots_left,
            prefills=prefills,
            cold=self.cold_start.is_limited(now),
        )

    def _fits(self, now: float, request: AdmissionRequest) -> bool:
        if not self._has_room(now, request):
            return False
        return not self._spacing.wait_seconds(now, request.prefill_tokens)

    def _has_room(self, now: float, request: AdmissionRequest) -> bool:
        if not self._has_slot(now, request):
            return False
        return not self.running or self._ahead.excess_seconds(now, request) <= 0

    def _has_slot(self, now: float, request: AdmissionRequest) -> bool:
        if self.cold_start.free_at_seconds(now) > now:
            return False
        if not self._running:
            return True
        return self.slots_left > 0 and self._running.has_memory(request)

    def _grant(
        self, now: float, request: AdmissionRequest
    ) -> AdmissionDecision:
        expected_seconds = self.estimator.first_event_seconds(
            now, request.prefill_tokens
        )
        self.cold_start.granted(now)
        self._spacing.granted(now, request.prefill_tokens)
        self.estimator.granted(now, request.permit_id, request.prefill_tokens)
        self._running.add(now, request, expected_seconds)
        self.usage.record_grant(
            request.prefill_tokens, request.workspace, request.cost
        )
        self._order.granted(now, request)
        return Granted(request.permit_id)

    def _refusal(
        self,
        now: float,
        request: AdmissionRequest,
        wait_seconds: float,
        waited_seconds: float,
    ) -> Refused:
        self.usage.record_refusal(waited_seconds)
        return Refused.for_wait(
            request.permit_id,
            wait_seconds,
            waited_seconds,
            self.rate_tokens,
            self._order.record_refusal(now, request.workspace),
        )
