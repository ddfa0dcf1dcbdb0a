"""Drives the admission to one engine by the event loop's clock."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from sardinetrack.admission.engine_report import EngineReport
from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.admission.request import (
    AdmissionDecision,
    AdmissionRequest,
    Granted,
)
from sardinetrack.quarantine.trial import TrialGate
from sardinetrack.topology.cold import ColdPeriod
from sardinetrack.turns.clock import loop_now


class AdmissionDriver(ABC):
    """Feeds requests, ends and time to the admission, delivers decisions.

    Each decision is delivered once.
    """

    def __init__(self) -> None:
        """Start with one slot, until the engine's size is known."""
        self.admission = PrefillAdmission(slots=1, memory_tokens=1)
        self.trials = TrialGate()
        self._timer: asyncio.TimerHandle | None = None

    @abstractmethod
    def deliver(self, decision: AdmissionDecision) -> None:
        """Deliver a decision to the requester of the permit."""

    def request(self, request: AdmissionRequest) -> None:
        """Request a permit."""
        self._deliver_all(self.admission.request_permit(loop_now(), request))

    def prefill_finished(self, permit_id: str) -> None:
        """Record that the prefill of a request has finished."""
        self.trials.end(permit_id)
        self._deliver_all(
            self.admission.prefill_finished(loop_now(), permit_id)
        )

    def reset(self) -> None:
        """Release all permits, after a restart of the server."""
        self.trials.reset()
        self._deliver_all(self.admission.handle_restart(loop_now()))

    def observe_engine(self, report: EngineReport) -> None:
        """Apply the engine's own report.

        A report of another start resets the pace of the steps alone. Permits
        are released and the cold period is set when an entry reports the
        start; releasing them here too would grant the waiting requests to an
        engine that may be cold, without a limit.
        """
        self._deliver_all(self.admission.observe_engine(loop_now(), report))
        self.start_reported(report.started_milliseconds)

    @abstractmethod
    def start_reported(self, started_milliseconds: int | None) -> None:
        """Handle which start of the engine has sent a report."""

    def set_cold_period(self, cold: ColdPeriod) -> None:
        """Set how long the server's cold start lasts."""
        self._deliver_all(self.admission.set_cold_period(loop_now(), cold))

    def release_permit(
        self, permit_id: str, *, is_complete: bool = False
    ) -> None:
        """Release a permit, or remove a request that still waits for one.

        :param is_complete: whether the caller has received the complete
            response.
        """
        self.trials.end(permit_id)
        now = loop_now()
        self._deliver_all(
            self.admission.release(now, permit_id, is_complete=is_complete)
        )

    def _deliver_all(self, decisions: Sequence[AdmissionDecision]) -> None:
        for decision in decisions:
            if not isinstance(decision, Granted):
                self.trials.end(decision.permit_id)
            self.deliver(decision)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.admission.next_deadline_seconds(loop_now())
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._deliver_all(self.admission.tick(loop_now()))


class LocalAdmission(AdmissionDriver):
    """Admission by an entry itself, while a server's side is unreachable."""

    def __init__(self) -> None:
        """Start without requests."""
        super().__init__()
        self._pending: dict[str, asyncio.Future[AdmissionDecision]] = {}

    async def request_permit(self, ask: AdmissionRequest) -> AdmissionDecision:
        """Request a permit and wait for the decision."""
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[AdmissionDecision] = loop.create_future()
        self._pending[ask.permit_id] = waiting
        try:
            self.request(ask)
            return await waiting
        except asyncio.CancelledError:
            self.release_permit(ask.permit_id)
            raise
        finally:
            self._pending.pop(ask.permit_id, None)

    def start_reported(self, started_milliseconds: int | None) -> None:
        """Do nothing: an entry polls no engine."""

    def deliver(self, decision: AdmissionDecision) -> None:
        """Resolve the future of a request; release a permit without one."""
        waiting = self._pending.get(decision.permit_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(decision)
        elif isinstance(decision, Granted):
            self.release_permit(decision.permit_id)
