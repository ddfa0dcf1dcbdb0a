"""Handles run requests and status queries for the owner task."""

from __future__ import annotations

from sardinetrack.admission.api import Arrival, RefusalReason
from sardinetrack.messages.api import BidRow, Bids
from sardinetrack.messages.run import (
    AttemptStatus,
    AttemptStatusResponse,
    RunRequest,
    RunResult,
)
from sardinetrack.side.active_attempts import ActiveAttempt
from sardinetrack.side.events import (
    AttemptEnded,
    AttemptQueried,
    RunRequestReceived,
)
from sardinetrack.side.owner_state import Effects, OwnerState


class RequestEventHandler:
    """Translates request events into calls of the admission object."""

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def run_request_received(
        self,
        now: float,
        event: RunRequestReceived,
    ) -> Effects:
        """Submit a run request, then the bids that it carries.

        The order matters: the request may use a slot that the bids would
        otherwise assign to other queued requests.
        """
        run_request = event.run_request
        if self._state.attempts.get(run_request.attempt_id) is not None:
            self._refuse_duplicate(event)
            return ()
        self._state.attempts.add(event)
        effects = self._state.admission.arrive(now, _arrival(run_request))
        return [*effects, *self._carried_bids(now, run_request)]

    def attempt_ended(self, now: float, event: AttemptEnded) -> Effects:
        """Free the slot of an attempt, or prevent it from ever starting."""
        attempt = self._state.attempts.remove(now, event)
        if attempt is None or attempt.refused:
            return ()
        if attempt.undecided:
            return self._state.admission.resolve_status(
                now,
                event.attempt_id,
                cancel=True,
            )[1]
        return self._state.admission.finished(
            now,
            event.attempt_id,
            is_complete=event.complete,
            cost=event.cost,
            stopped=event.stopped,
        )

    def attempt_queried(
        self,
        now: float,
        event: AttemptQueried,
    ) -> Effects:
        """Return the status of an attempt; "not started" is binding."""
        query = event.query
        own_incarnation = self._state.identity.incarnation
        if query.incarnation != own_incarnation:
            # The run request was sent to an earlier process of this side: what
            # that process started is unknown here, and "not run" might be
            # wrong.
            event.responses.send_nowait(
                AttemptStatusResponse(AttemptStatus.UNKNOWN, own_incarnation)
            )
            return ()
        fate, effects = self._state.admission.resolve_status(
            now,
            query.attempt_id,
            cancel=query.cancel,
        )
        event.responses.send_nowait(
            AttemptStatusResponse(fate, own_incarnation)
        )
        return effects

    def carry_out_refusal(
        self,
        now: float,
        attempt_id: str,
        reason: RefusalReason,
    ) -> None:
        """Carry out a refusal of the admission object."""
        fate = AttemptStatus.NOT_STARTED
        if reason is RefusalReason.DUPLICATE:
            # The first run request with this id may have run.
            fate, _ = self._state.admission.resolve_status(
                now, attempt_id, cancel=False
            )
        self._state.attempts.refuse(attempt_id, self._result(fate, reason))

    def _refuse_duplicate(self, event: RunRequestReceived) -> None:
        # Both run requests have the same id: the first one's task is still
        # active, and this refusal must neither reach it nor claim that nothing
        # ran.
        refusal = self._result(AttemptStatus.UNKNOWN, RefusalReason.DUPLICATE)
        second = ActiveAttempt(event.run_request, event.decisions)
        self._state.attempts.refuse_request(second, refusal)

    def _result(self, fate: AttemptStatus, reason: RefusalReason) -> RunResult:
        return RunResult(
            fate,
            self._state.identity.incarnation,
            reason=reason.value,
            free=self._state.admission.load().free,
        )

    def _carried_bids(self, now: float, run_request: RunRequest) -> Effects:
        if (
            not run_request.bids
            or self._state.links.get(run_request.entry) is None
        ):
            return ()
        bids = Bids(
            pool=self._state.identity.pool,
            grants_seen=self._state.grants.record_seen(
                run_request.entry, run_request.grant
            ),
            rows=tuple(BidRow(*row) for row in run_request.bids),
        )
        return self._state.admission.update_bids(now, run_request.entry, bids)


def _arrival(run_request: RunRequest) -> Arrival:
    return Arrival(
        attempt_id=run_request.attempt_id,
        entry=run_request.entry,
        workspace=run_request.workspace,
        tag=run_request.tag,
        hint_cost=run_request.hint_cost,
        grant=run_request.grant,
        wait_seconds=run_request.wait_seconds,
        fingerprint=run_request.fingerprint,
        suspect=run_request.suspect,
    )
