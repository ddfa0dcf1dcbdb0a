"""Run a caller's request to its final answer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sardinetrack.entry.attempt import Attempt, AttemptResult
from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller, run_until_gone
from sardinetrack.entry.cost import CostKey, LearnedCosts
from sardinetrack.entry.cut import cut
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.history import RunHistory
from sardinetrack.entry.keyed import KeyedRuns
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.sides import Sides
from sardinetrack.entry.ticket import Ticket
from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.http.asgi import CallerGoneError, Exchange
from sardinetrack.routing.api import AttemptEnd, Dispatch, Reject


class CallRunner:
    """Takes a call through claim, routing, attempts and the answer."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        sides: Sides,
        keyed: KeyedRuns,
        costs: LearnedCosts,
        metrics: EntryMetrics,
        send_seconds: float,
    ) -> None:
        """Remember the parts."""
        self._dispatcher = dispatcher
        self._sides = sides
        self._keyed = keyed
        self._costs = costs
        self._metrics = metrics
        self._send_seconds = send_seconds

    async def run(self, call: Call, exchange: Exchange) -> None:
        """Answer a call.

        :raises AnsweredError: it failed before the answer had begun.
        :raises CallerGoneError: nobody is there to answer any more.
        """
        caller = Caller(exchange, self._send_seconds)
        await run_until_gone(caller, partial(self._job, call, caller))

    async def _job(self, call: Call, caller: Caller) -> None:
        run = partial(self._routed, call, caller)
        if call.idempotency_key is None:
            await run(_ignore)
        else:
            await self._keyed.run(call, call.idempotency_key, run)

    async def _routed(
        self,
        call: Call,
        caller: Caller,
        note_may_have_run: Callable[[bool], None],
    ) -> None:
        with self._dispatcher.submitted(call.work) as ticket:
            history = RunHistory(note_may_have_run)
            decision = await ticket.next()
            self._metrics.waited(call.pool.name, ticket.age_seconds())
            while isinstance(decision, Dispatch):
                history.begins()
                result = await self._attempt(call, caller, decision)
                history.ended(result.end)
                if result.end is AttemptEnd.WHOLE:
                    ticket.over = True
                    return
                decision = await self._next(ticket, call, caller, result.end)
            raise history.failure(decision)

    async def _attempt(
        self,
        call: Call,
        caller: Caller,
        dispatch: Dispatch,
    ) -> AttemptResult:
        attempt = Attempt(
            call,
            dispatch,
            caller,
            self._sides,
            self._dispatcher,
        )
        result = await attempt.run()
        self._settle(call, caller, dispatch, result)
        return result

    async def _next(
        self,
        ticket: Ticket,
        call: Call,
        caller: Caller,
        end: AttemptEnd,
    ) -> Dispatch | Reject:
        if caller.vanished or end is AttemptEnd.ABANDONED:
            raise CallerGoneError
        decision = await ticket.next()
        if caller.started:
            # Part of one run's answer has gone out: another run's answer must
            # not follow it, whatever was decided.
            ticket.over = True
            await cut(call, caller)
            raise AnsweredError(ErrorKind.ANSWER_CUT)
        return decision

    def _settle(
        self,
        call: Call,
        caller: Caller,
        dispatch: Dispatch,
        result: AttemptResult,
    ) -> None:
        if result.end is AttemptEnd.WHOLE:
            key = CostKey(call.workspace.name, call.pool.name)
            self._costs.learn(key, result.cost - call.prompt_cost)
        self._dispatcher.ended(
            dispatch,
            result.end,
            cost=result.cost,
            answered=caller.started,
        )


def _ignore(may_have_run: bool) -> None:
    """Take no note."""
