"""Runs a caller's request until its final response."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sardinetrack.entry.attempt import AttemptResult, EntryAttempt
from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller, run_until_disconnected
from sardinetrack.entry.cost import CostEstimates, CostKey
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.history import RunHistory
from sardinetrack.entry.idempotent_runs import IdempotentRuns
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.pending_request import PendingRequest
from sardinetrack.entry.side_directory import SideDirectory
from sardinetrack.entry.truncation import truncate_response
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.asgi import ClientDisconnectedError, HttpExchange
from sardinetrack.routing.api import AttemptOutcome, Dispatch, Reject


class CallRunner:
    """Runs a call: claim, routing decisions, attempts and the response."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        sides: SideDirectory,
        idempotent_runs: IdempotentRuns,
        costs: CostEstimates,
        metrics: EntryMetrics,
        send_seconds: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._sides = sides
        self._idempotent_runs = idempotent_runs
        self._costs = costs
        self._metrics = metrics
        self._send_seconds = send_seconds

    async def run(self, call: Call, exchange: HttpExchange) -> None:
        """Run a call and send its response.

        :raises RequestError: the call failed, possibly after its response had
            started.
        :raises ClientDisconnectedError: the caller disconnected.
        """
        caller = Caller(exchange, self._send_seconds)
        await run_until_disconnected(
            caller, partial(self._run_call, call, caller)
        )

    async def _run_call(self, call: Call, caller: Caller) -> None:
        run = partial(self._run_routed, call, caller)
        if call.idempotency_key is None:
            await run(_ignore)
        else:
            await self._idempotent_runs.run(call, call.idempotency_key, run)

    async def _run_routed(
        self,
        call: Call,
        caller: Caller,
        on_may_have_run: Callable[[bool], None],
    ) -> None:
        with self._dispatcher.submitted(call.work) as pending:
            history = RunHistory(on_may_have_run)
            decision = await pending.next_decision()
            self._metrics.observe_wait(call.pool.name, pending.age_seconds())
            while isinstance(decision, Dispatch):
                history.attempt_started()
                result = await self._attempt(call, caller, decision)
                history.attempt_ended(result.end)
                if result.end is AttemptOutcome.COMPLETED:
                    pending.finished = True
                    return
                decision = await self._next_decision(
                    pending, call, caller, result.end
                )
            raise history.failure(decision)

    async def _attempt(
        self,
        call: Call,
        caller: Caller,
        dispatch: Dispatch,
    ) -> AttemptResult:
        attempt = EntryAttempt(
            call,
            dispatch,
            caller,
            self._sides,
            self._dispatcher,
        )
        result = await attempt.run()
        self._settle(call, caller, dispatch, result)
        return result

    async def _next_decision(
        self,
        pending: PendingRequest,
        call: Call,
        caller: Caller,
        end: AttemptOutcome,
    ) -> Dispatch | Reject:
        if caller.disconnected or end is AttemptOutcome.ABANDONED:
            raise ClientDisconnectedError
        decision = await pending.next_decision()
        if caller.started:
            # A part of one run's response was sent: another run's response
            # must not follow it, whatever the decision.
            pending.finished = True
            await truncate_response(call, caller)
            raise RequestError(ErrorKind.ANSWER_CUT)
        return decision

    def _settle(
        self,
        call: Call,
        caller: Caller,
        dispatch: Dispatch,
        result: AttemptResult,
    ) -> None:
        if result.end is AttemptOutcome.COMPLETED:
            key = CostKey(call.workspace.name, call.pool.name)
            self._costs.update(key, result.cost - call.prompt_cost)
        self._dispatcher.attempt_ended(
            dispatch,
            result.end,
            cost=result.cost,
            answered=caller.started,
        )


def _ignore(may_have_run: bool) -> None:
    """Ignore whether the request may have run."""
