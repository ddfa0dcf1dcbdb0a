"""One request from its arrival to its answer: place, send, repeat."""

from __future__ import annotations

import asyncio

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.logs.events import Event
from sardinetrack.relay.api import Call, Dialect
from sardinetrack.relay.attempt import Attempt, AttemptEnd, Progress
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.events import EventCutter
from sardinetrack.relay.fleet import Fleet
from sardinetrack.relay.own_answer import own_answer
from sardinetrack.relay.placing import SERVER_AWAY_SECONDS, Placer
from sardinetrack.relay.plan import Plan, make_plan
from sardinetrack.relay.sender import Sender
from sardinetrack.relay.server_pool import NotConnectedError
from sardinetrack.relay.trace import Trace
from sardinetrack.turns.clock import loop_now


class Exchange:
    """Serves one call; cancelled when the caller leaves."""

    def __init__(
        self,
        fleet: Fleet,
        dialect: Dialect,
        call: Call,
        caller: CallerConnection,
    ) -> None:
        """Take over a call."""
        self.plan: Plan | None = None
        self.trace = Trace()
        self._fleet = fleet
        self._dialect = dialect
        self._call = call
        self._caller = caller
        self.progress = Progress(EventCutter(call.after_event))
        self._placer = Placer(fleet, call, self.trace)
        self._sender = Sender(fleet, dialect, call, caller, self.trace)

    @property
    def attempt(self) -> Attempt | None:
        """The latest send."""
        return self._sender.attempt

    @property
    def server_is_over(self) -> bool:
        """Whether the server has started anew since the latest send."""
        server = self._sender.server
        return server is not None and self._fleet.is_over(server)

    async def run(self) -> None:
        """Answer the call."""
        try:
            await self._run_in_time()
        except AnsweredError as error:
            self.refuse(error)

    def refuse(self, error: AnsweredError) -> None:
        """Tell the caller why there is no answer, or no more of it."""
        cause = self.trace.reason or error.detail
        kind = error.kind.value
        self.trace.end = kind
        self.trace.reason = f'{kind}: {cause}'
        if self.progress.started:
            self._caller.cut()
            return
        status, headers, body = own_answer(error)
        self.trace.status = status
        identity = self._dialect.identity(self._call)
        self._caller.whole(status, identity + headers, body)

    async def _run_in_time(self) -> None:
        self.plan = make_plan(self._fleet, self._call)
        self._check_crashes(self.plan)
        try:
            async with asyncio.timeout_at(self.plan.ends_seconds):
                await self._serve(self.plan)
        except TimeoutError as error:
            kind = ErrorKind.TIMED_OUT
            if self.trace.proved_not_run:
                kind = ErrorKind.NOT_RUN_DEADLINE
            raise AnsweredError(kind) from error

    def _check_crashes(self, plan: Plan) -> None:
        """Refuse what servers went down under, whoever found that out.

        :raises AnsweredError: this one did.
        """
        seconds = self._refused_seconds(plan)
        if seconds > 0:
            raise AnsweredError(
                ErrorKind.NOT_RUN_CRASHES,
                retry_after_seconds=seconds,
            )

    def _refused_seconds(self, plan: Plan) -> float:
        return self._fleet.crashes.refused_seconds(
            loop_now(),
            self._call,
            plan.workspace_name,
        )

    async def _serve(self, plan: Plan) -> None:
        delivered = False
        while not delivered:
            placed = await self._placer.place(plan)
            whole = False
            try:
                attempt = await self._sender.send(plan, placed, self.progress)
                whole = attempt.done.result() is AttemptEnd.DELIVERED
            except NotConnectedError:
                self.trace.unreached.add(placed.candidate.server.instance)
                continue
            finally:
                placed.turn.ended(whole=whole)
            delivered = self._judge(plan, attempt)

    def _judge(self, plan: Plan, attempt: Attempt) -> bool:
        """Tell whether the answer is out; if not, the request is repeated.

        :raises AnsweredError: it may not be repeated.
        """
        end = attempt.done.result()
        if end is AttemptEnd.DELIVERED:
            return True
        self.trace.reason = attempt.reason
        if self._may_repeat(plan, end):
            self._fleet.meters.retries[end.name.lower()] += 1
            self._fleet.log.write(
                Event.REQUEST_RETRIED,
                request=self._call.request_id,
                after=end.name.lower(),
                cause=attempt.reason,
                last_event=attempt.last_event,
            )
            return False
        if end is AttemptEnd.ANSWERED:
            attempt.deliver_held()
            return True
        raise _final_error(end, attempt.reason)

    def _may_repeat(self, plan: Plan, end: AttemptEnd) -> bool:
        if end is not AttemptEnd.NOT_RUN and not plan.route.repeatable:
            return False
        if self.trace.sent >= plan.route.max_servers:
            return False
        if self._refused_seconds(plan) > 0:
            return False
        return self._fleet.budget(plan.pool.name).take()


def _final_error(end: AttemptEnd, reason: str) -> AnsweredError:
    if end is AttemptEnd.NOT_RUN:
        return AnsweredError(
            ErrorKind.NOT_RUN_NO_SERVER,
            retry_after_seconds=SERVER_AWAY_SECONDS,
        )
    return AnsweredError(ErrorKind.OUTCOME_UNKNOWN, reason)
