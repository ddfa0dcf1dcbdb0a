"""One request from arrival to response: place, send, retry."""

from __future__ import annotations

import asyncio

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
from sardinetrack.relay.movable_stream import MovableStream
from sardinetrack.relay.move_tools import MoveTools
from sardinetrack.relay.request_end import record_end
from sardinetrack.relay.request_plan import (
    Plan,
    make_plan,
    part_refusal,
    plan_continuation,
)
from sardinetrack.relay.sender import Sender
from sardinetrack.relay.server_choice import Placer
from sardinetrack.relay.server_states import ServerUnavailableError
from sardinetrack.relay.silence import max_silence_seconds
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
        self._response = caller.response
        self._flow = caller.flow
        self.progress = Progress.of(call, caller.flow)
        self._placer = Placer(state, call, self.trace)
        self._sender = Sender(state, adapter, call, caller, self.trace)
        self._movable: MovableStream | None = None

    @property
    def attempt(self) -> ServerAttempt | None:
        """The latest attempt."""
        return self._sender.attempt

    @property
    def delivered(self) -> bool:
        """Whether the caller has the complete response."""
        return self._response.complete

    @property
    def server_restarted(self) -> bool:
        """Whether the server has restarted since the latest attempt."""
        server = self._sender.server
        return server is not None and self._state.is_superseded(server)

    def check(self, now: float) -> None:
        """Check the server of the request; called several times a second."""
        self.abandon_if_silent(now)
        if self._movable is not None:
            self._movable.check(now)

    def abandon_if_silent(self, now: float) -> None:
        """Abandon an attempt on a silent server if the request may be repeated.

        An unreachable server sends no reset; without this check its streams
        would hang until their callers give up. A server that has restarted
        knows nothing of the requests sent to its former start.
        """
        plan, attempt = self.plan, self.attempt
        if plan is None or attempt is None or attempt.done.done():
            return
        allowed = max_silence_seconds(
            plan.route, started=attempt.first_event_received
        )
        silent = self._silent_seconds(now, attempt) > allowed
        # One that may have begun at the new start would be taken from it.
        superseded = self.server_restarted and not (
            self.trace.origin_is_doubtful(self._state.servers)
        )
        if silent or (plan.route.repeatable and superseded):
            attempt.abandon()

    def _silent_seconds(self, now: float, attempt: ServerAttempt) -> float:
        """Return how long a server has sent nothing, though it was read.

        While reading is paused for a slow caller, a working server looks
        silent too.
        """
        if self._flow.paused:
            return 0
        return now - max(attempt.last_data_seconds, self._flow.resumed_seconds)

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
        try:
            async with asyncio.timeout_at(self.plan.deadline_seconds):
                self.plan = await self._bind_to_origin(self.plan)
                await self._serve(self.plan)
        except TimeoutError as error:
            kind = ErrorKind.NOT_RUN_DEADLINE
            if self.trace.may_have_run:
                kind = ErrorKind.TIMED_OUT
            raise RequestError(kind) from error

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
            placement = await self._place(plan)
            try:
                attempt = await self._send(plan, placement)
            except (NotConnectedError, ServerUnavailableError):
                continue
            finally:
                placement.permit.release(complete=self.delivered)
            self._handle_outcome(plan, attempt)

    async def _place(self, plan: Plan) -> Placement:
        placement = await self._placer.place(plan)
        return placement.held() if plan.has_movable_streams else placement

    async def _send(self, plan: Plan, placement: Placement) -> ServerAttempt:
        """Send to one server, or on from there while its engine leaves."""
        if not plan.has_movable_streams:
            return await self._sender.send(plan, placement, self.progress)
        tools = MoveTools(
            self._state,
            self._adapter,
            self._call,
            plan,
            self._placer,
            self.trace,
            self._flow,
        )
        movable = MovableStream(tools, self._sender, self.progress)
        self._movable = movable
        try:
            async with movable:
                return await movable.send(placement)
        finally:
            self._movable = None

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
            return self._placer.no_server_error(plan)
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, reason)

    def _may_retry(self, plan: Plan, outcome: SendOutcome) -> bool:
        if outcome is not SendOutcome.NOT_RUN and not plan.route.repeatable:
            return False
        if self.trace.sent >= plan.route.max_servers:
            return False
        if not self.progress.splitter.is_continuable:
            return False
        if self._crash_refusal(plan) is not None:
            return False
        if self._state.rest_seconds(plan.pool.name) > 0:
            return False
        return self._state.budget(plan.pool.name).try_withdraw()
