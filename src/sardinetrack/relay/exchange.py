"""One request from arrival to response: place, send, retry."""

from __future__ import annotations

import asyncio
from functools import partial

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.logs.events import Event
from sardinetrack.relay.api import CallerRequest, ProtocolAdapter
from sardinetrack.relay.attempt import Progress, SendOutcome, ServerAttempt
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.connection_pool import NotConnectedError
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.error_response import (
    error_response,
    promises_not_run,
)
from sardinetrack.relay.move_tools import MoveTools
from sardinetrack.relay.relief import Relief
from sardinetrack.relay.request_end import record_end
from sardinetrack.relay.request_plan import (
    Plan,
    make_plan,
    part_refusal,
    plan_continuation,
)
from sardinetrack.relay.run import Run
from sardinetrack.relay.server_choice import Placer
from sardinetrack.relay.server_states import ServerUnavailableError
from sardinetrack.relay.trace import Placement, Trace
from sardinetrack.turns.clock import loop_now


class Exchange:
    """Serves one request; cancelled when the caller disconnects."""

    def __init__(
        self,
        state: EntryState,
        adapter: ProtocolAdapter,
        call: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        self.plan: Plan | None = None
        self.trace = Trace()
        self._state = state
        self._adapter = adapter
        self._call = call
        self._caller = caller
        self._response = caller.response
        self._flow = caller.flow
        self.progress = Progress.of(call, caller.flow)
        self._placer = Placer(state, call, self.trace)
        self._run: Run | None = None
        self._newest_run: Run | None = None
        self._time_limit = asyncio.timeout(None)
        self._drain_refusal: RequestError | None = None

    @property
    def delivered(self) -> bool:
        """Whether the caller has the complete response."""
        return self._response.complete

    def check(self, now: float) -> None:
        """Check the server of the request; called several times a second."""
        self._check_drain(now)
        run = self._watched_run()
        if run is None or run.ended:
            return
        if run.relief is not None and run.relief.pending:
            run.relief.check(now)
            return
        if self._send_refusal is None:
            run.check_restart()
        if run.is_relief_due(now):
            self._relieve(run, now)
        else:
            run.check_move(now)

    def _check_drain(self, now: float) -> None:
        """Refuse a request that waits though it may not be sent any more.

        Its caller would be told only when the wait ends.
        """
        limit, refusal = self._time_limit, self._send_refusal
        if refusal is None or limit.expired() or not self._waits_to_send:
            return
        self._drain_refusal = refusal
        limit.reschedule(now)

    @property
    def _send_refusal(self) -> RequestError | None:
        """Why the request may not be sent any more, if so."""
        bound = self._state.server_states.send_bound
        return bound.refusal(self._response)

    @property
    def _waits_to_send(self) -> bool:
        """Whether no server has the request, though one may get it."""
        runs = (self._run, self._newest_run)
        return all(run is None or run.waits_to_send for run in runs)

    async def run(self) -> None:
        """Serve the request."""
        try:
            await self._run_with_deadline()
        except RequestError as error:
            self._refuse_truthfully(error)

    def _refuse_truthfully(self, error: RequestError) -> None:
        """Refuse, but not as not run if an earlier attempt may have run."""
        may_have_run = self.trace.may_have_run and not self._response.started
        if may_have_run and promises_not_run(error):
            cause = self.trace.reason or error.detail
            kind = error.kind.value
            self.trace.reason = f'{kind}: {cause}'
            error = RequestError(ErrorKind.OUTCOME_UNKNOWN)
        self.refuse(error)

    def record_end(self) -> None:
        """Count the request, which has ended, and log its last line."""
        record_end(
            self._state, self._call, self.plan, self.trace, self.progress
        )

    def refuse(self, error: RequestError) -> None:
        """Send an error response, or truncate a response that has begun.

        A complete response stays as it is: the request ended with it.
        """
        if self.delivered:
            return
        cause = self.trace.reason or error.detail
        kind = error.kind.value
        self.trace.outcome = kind
        self.trace.reason = f'{kind}: {cause}'
        if self._response.started:
            self._truncate(kind, cause)
            return
        status, headers, body = error_response(error)
        self.trace.status = status
        identity = self._adapter.own_headers(self._call)
        self._response.send(status, identity + headers, body)

    def _truncate(self, kind: str, cause: str) -> None:
        """Truncate the response, and log why it can't be completed."""
        self._response.truncate()
        self._state.meters.truncated[kind] += 1
        self._state.log.write(
            Event.RESPONSE_TRUNCATED,
            request=self._call.request_id,
            kind=kind,
            cause=cause,
            sends=self.trace.sent,
            last_event=self.progress.splitter.last_event,
        )

    async def _run_with_deadline(self) -> None:
        self.plan = make_plan(self._state, self._call)
        refusal = self._crash_refusal(self.plan)
        if refusal is not None:
            raise refusal
        self._time_limit = asyncio.timeout_at(self.plan.deadline_seconds)
        try:
            async with self._time_limit:
                self.plan = await self._bind_to_origin(self.plan)
                await self._serve(self.plan)
        except TimeoutError as error:
            raise self._limit_error() from error

    def _limit_error(self) -> RequestError:
        if self._drain_refusal is not None:
            return self._drain_refusal
        if self.trace.may_have_run:
            return RequestError(ErrorKind.TIMED_OUT)
        return RequestError(ErrorKind.NOT_RUN_DEADLINE)

    async def _bind_to_origin(self, plan: Plan) -> Plan:
        """Limit a continued stream to the software that began it.

        :raises RequestError: nothing of the kind is known to run.
        """
        origin = await self._state.streams.find(self._call, plan.pool)
        if origin is None:
            return plan
        self.trace.origin = origin
        return plan_continuation(self._state, plan, self._call, origin)

    def _crash_refusal(self, plan: Plan) -> RequestError | None:
        """Return why a request that crashes servers is refused, if it is."""
        refusal = part_refusal(self._state, plan, self._call)
        if refusal is not None:
            return refusal
        seconds = self._state.crashes.refused_seconds(
            loop_now(),
            self._call,
            plan.workspace_name,
        )
        if seconds > 0:
            return RequestError(
                ErrorKind.NOT_RUN_CRASHES,
                retry_after_seconds=seconds,
            )
        return None

    async def _serve(self, plan: Plan) -> None:
        while not self.delivered:
            self._run = None
            self._newest_run = None
            placement = await self._placer.place(plan)
            self._run = self._new_run(plan)
            try:
                attempt = await self._follow(self._run, placement)
            except (NotConnectedError, ServerUnavailableError):
                continue
            self._handle_outcome(plan, attempt)

    def _new_run(self, plan: Plan, takes_over: Relief | None = None) -> Run:
        tools = MoveTools(
            self._state,
            self._adapter,
            self._call,
            plan,
            self._placer,
            self.trace,
            self._flow,
        )
        self._newest_run = Run(tools, self._caller, self.progress, takes_over)
        return self._newest_run

    async def _follow(self, run: Run, placement: Placement) -> ServerAttempt:
        """Send, and wait for the end, also if another attempt takes over.

        :return: the attempt that ended last.
        """
        try:
            attempt = await run.send(placement)
            return await run.last_attempt(attempt)
        finally:
            await run.end_relief()

    def _watched_run(self) -> Run | None:
        """Return the run whose server is to be watched.

        One that takes over is watched once the silent server's has ended.
        """
        run = self._run
        if run is not None and run.relief is not None and run.finished:
            self._run = self._newest_run
        return self._run

    def _relieve(self, run: Run, now: float) -> None:
        """Look for a server that takes over from a silent one."""
        plan = self.plan
        assert plan is not None  # noqa: S101
        allowed = self._may_retry(plan, SendOutcome.UNKNOWN)
        placer = Placer(
            self._state,
            self._call,
            self.trace,
            only_untried=not run.server_restarted,
        )
        send = partial(self._take_over, plan, placer)
        run.relieve(now, send if allowed else None)

    async def _take_over(
        self, plan: Plan, placer: Placer, relief: Relief
    ) -> ServerAttempt | None:
        """Send to other servers in turn.

        :return: the attempt that ended last, if one took over.
        """
        sends = self.trace.sent
        try:
            while True:
                attempt = await self._send_relief(plan, placer, relief)
                outcome = attempt.done.result()
                if relief.accepted or not self._may_retry(plan, outcome):
                    return attempt
                sends = self.trace.sent
        except RequestError:
            # The silent server is waited for; the line on it tells that.
            return None
        finally:
            if self.trace.sent == sends:
                self._state.budget(plan.pool.name).refund()

    async def _send_relief(
        self, plan: Plan, placer: Placer, relief: Relief
    ) -> ServerAttempt:
        """Send to the next server that can be reached.

        :raises RequestError: there is none, or it may not be sent.
        """
        placement = await placer.place(plan)
        try:
            return await self._follow(self._new_run(plan, relief), placement)
        except (NotConnectedError, ServerUnavailableError):
            return await self._send_relief(plan, placer, relief)

    def _handle_outcome(self, plan: Plan, attempt: ServerAttempt) -> None:
        """Deliver a buffered response unless the request is to be retried.

        :raises RequestError: the request may not be retried.
        """
        outcome = attempt.done.result()
        if outcome is SendOutcome.DELIVERED:
            return
        self.trace.reason = attempt.reason
        if self._may_retry(plan, outcome):
            self._state.meters.retries[outcome.name.lower()] += 1
            self._state.log.write(
                Event.REQUEST_RETRIED,
                request=self._call.request_id,
                after=outcome.name.lower(),
                cause=attempt.reason,
                last_event=attempt.last_event,
            )
        elif outcome is SendOutcome.ANSWERED and not self._response.started:
            attempt.deliver_buffered()
        else:
            raise self._final_error(plan, outcome, attempt.reason)

    def _final_error(
        self, plan: Plan, outcome: SendOutcome, reason: str
    ) -> RequestError:
        if outcome is SendOutcome.NOT_RUN:
            return self._send_refusal or self._placer.no_server_error(plan)
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, reason)

    def _may_retry(self, plan: Plan, outcome: SendOutcome) -> bool:
        if outcome is not SendOutcome.NOT_RUN and not plan.route.repeatable:
            return False
        if self.trace.sent >= plan.route.max_servers:
            return False
        if not self.progress.splitter.is_continuable:
            return False
        if self._send_refusal or self._crash_refusal(plan):
            return False
        if self._state.rest_seconds(plan.pool.name) > 0:
            return False
        return self._state.budget(plan.pool.name).try_withdraw()
