"""Send a request to one server, and update its state by the outcome."""

from __future__ import annotations

import asyncio
from contextlib import AbstractAsyncContextManager
from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import (
    AttemptContext,
    CallerRequest,
    ProtocolAdapter,
)
from sardinetrack.relay.attempt import (
    Progress,
    SendOutcome,
    ServerAttempt,
    StreamStart,
)
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.closed_response import ClosedResponse
from sardinetrack.relay.connection_pool import IDLE_SECONDS, NotConnectedError
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.outcome_recorder import OutcomeRecorder
from sardinetrack.relay.request_plan import (
    Plan,
    check_parts,
    check_still_allowed,
)
from sardinetrack.relay.send_mode import SendMode
from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.relay.server_notices import ServerNotices
from sardinetrack.relay.start_check import check_start
from sardinetrack.relay.target import Target
from sardinetrack.relay.trace import Placement, Trace
from sardinetrack.topology.servers import BackendServer

RUN_ONCE_IDLE_SECONDS: Final = 1.0
"""Maximum idle time of a connection used for a request that must run once.

A server may close an idle connection just as the request arrives; it would be
unknown then whether the request has run.
"""
_MIN_TIMEOUT_SECONDS: Final = 0.02
_DIGITS: Final = 3
_HEAD: Final = b'HEAD'
_ONE_SERVER: Final = SendMode()


class Sender:
    """Sends one request, in one or more successive attempts."""

    def __init__(
        self,
        state: EntryState,
        adapter: ProtocolAdapter,
        call: CallerRequest,
        caller: CallerConnection,
        trace: Trace,
    ) -> None:
        self.attempt: ServerAttempt | None = None
        self.server: BackendServer | None = None
        self._state = state
        self._adapter = adapter
        self._call = call
        self._caller = caller
        self._trace = trace
        self._outcomes = OutcomeRecorder(state, call, trace)
        self._loop = asyncio.get_running_loop()

    @property
    def caller_has_all(self) -> bool:
        """Whether the caller has the complete response."""
        return self._caller.response.complete

    async def send(
        self,
        plan: Plan,
        placement: Placement,
        progress: Progress,
        mode: SendMode = _ONE_SERVER,
    ) -> ServerAttempt:
        """Send, and wait for the end of the response.

        :param mode: what differs for a stream that may move.
        :return: the attempt, whose outcome is known.
        :raises NotConnectedError: nothing was sent.
        :raises ServerUnavailableError: nothing was sent.
        :raises RequestError: the request is no longer allowed, or the entry
            stops; nothing was sent.
        """
        server = placement.candidate.server
        # Before a connection is taken, which would be closed unused.
        self._state.check_available(server, is_return=mode.is_return)
        self.server = server
        target = Target.of(self._state, server)
        try:
            async with self._connection(plan, server, progress) as connection:
                if _must_check_start(server, progress):
                    await check_start(
                        connection, self._adapter, target, self._outcomes
                    )
                attempt = self._prepare(
                    plan,
                    placement,
                    target,
                    connection,
                    _stream_start(placement, progress, mode),
                )
                stopped = await self._exchange(
                    plan, placement, connection, attempt, mode
                )
                _prepare_reuse(connection, attempt)
        except NotConnectedError as error:
            self._outcomes.record_unreachable(target, error)
            raise
        except BaseException:
            target.record_inconclusive()
            raise
        if stopped:
            # It ended the stream as it was asked to; that is no failure.
            target.record_success()
            return attempt
        self._outcomes.record(target, attempt)
        self._outcomes.update_suspects(plan, server, attempt)
        await self._confirm_crash(plan, target, attempt)
        return attempt

    async def _confirm_crash(
        self, plan: Plan, target: Target, attempt: ServerAttempt
    ) -> None:
        """Find out whether the server crashed on this prompt.

        Until that is known it must not be sent to another one.
        """
        if attempt.first_event_received or not plan.part_keys:
            return
        if attempt.interrupted_by_server:
            try:
                await self._state.connections.check(target.server.address)
            except NotConnectedError as error:
                self._outcomes.record_unreachable(target, error)

    def _connection(
        self,
        plan: Plan,
        server: BackendServer,
        progress: Progress,
    ) -> AbstractAsyncContextManager[ServerConnection]:
        max_idle_seconds = IDLE_SECONDS
        if _must_check_start(server, progress):
            max_idle_seconds = 0
        elif not plan.route.repeatable:
            max_idle_seconds = RUN_ONCE_IDLE_SECONDS
        return self._state.connections.lease(
            server.address,
            lambda: self._state.connection_limit(server),
            max_idle_seconds=max_idle_seconds,
            request_id=self._call.sent_id,
        )

    def _prepare(
        self,
        plan: Plan,
        placement: Placement,
        target: Target,
        connection: ServerConnection,
        start: StreamStart,
    ) -> ServerAttempt:
        return ServerAttempt(
            self._call,
            self._caller.response,
            self._adapter,
            start,
            streams=plan.is_streaming and self._call.method != _HEAD,
            connection=connection,
            observer=ServerNotices(
                self._state,
                target,
                placement.permit,
                self._trace,
                self._call,
                plan.part_keys,
            ),
        )

    async def _exchange(
        self,
        plan: Plan,
        placement: Placement,
        connection: ServerConnection,
        attempt: ServerAttempt,
        mode: SendMode,
    ) -> bool:
        """Send, and follow the attempt; see :attr:`SendMode.follow`."""
        candidate = placement.candidate
        server = candidate.server
        self._recheck(plan, placement, mode)
        head = self._adapter.encode_request(
            self._call,
            self._sending(plan, server, attempt, mode),
        )
        self._log_sent(plan, placement, attempt, mode)
        self.attempt = attempt
        self._outcomes.note_sent(plan)
        load = self._state.server_states.load(server)
        load.added_tokens += candidate.prefill_tokens
        with self._caller.flow.applied_to(connection):
            connection.send(
                head,
                attempt,
                body=self._call.body,
                request_id=self._call.sent_id,
                bodiless=self._call.method == _HEAD,
            )
            closed = ClosedResponse(
                self._state,
                self._adapter,
                placement,
                connection,
                attempt,
                pool=plan.pool,
            )
            async with closed:
                return await mode.follow(attempt)

    def _recheck(
        self, plan: Plan, placement: Placement, mode: SendMode
    ) -> None:
        """Check again what may have changed while the request waited.

        Otherwise a revoked key, or a draining or resting server, would get
        requests for as long as requests wait.

        :raises CancelledError: the caller has disconnected, handled as if that
            had been read.
        :raises RequestError: it may not be sent any more.
        :raises ServerUnavailableError: the server may get no more requests.
        """
        if self._caller.disconnected:
            raise asyncio.CancelledError
        bound = self._state.server_states.send_bound
        refusal = bound.refusal(self._caller.response)
        if refusal is not None:
            raise refusal
        check_still_allowed(self._state, plan, self._call)
        check_parts(self._state, plan, self._call, is_trial=placement.is_trial)
        self._state.check_available(
            placement.candidate.server, is_return=mode.is_return
        )

    def _sending(
        self,
        plan: Plan,
        server: BackendServer,
        attempt: ServerAttempt,
        mode: SendMode,
    ) -> AttemptContext:
        left_seconds = plan.deadline_seconds - self._loop.time()
        return AttemptContext(
            server,
            max(_MIN_TIMEOUT_SECONDS, left_seconds),
            plan.workspace.name if plan.workspace else None,
            attempt.last_event,
            mode.kv_source,
        )

    def _log_sent(
        self,
        plan: Plan,
        placement: Placement,
        attempt: ServerAttempt,
        mode: SendMode,
    ) -> None:
        state, trace = self._state, self._trace
        candidate = placement.candidate
        servers_age_seconds = state.servers_age_seconds()
        state.meters.list_ages.add(servers_age_seconds)
        if attempt.last_event is not None:
            state.meters.streams.count_continued(
                first=not trace.sent, moves=mode.kv_source is not None
            )
        if not trace.sent:
            state.budget(plan.pool.name).deposit()
        trace.servers.append(candidate.server.instance)
        trace.moves += mode.kv_source is not None
        trace.unproved_sends += 1
        state.log.write(
            Event.REQUEST_SENT,
            request=self._call.request_id,
            server=candidate.server.instance,
            version=candidate.server.version,
            after_event=attempt.last_event,
            resumes=self._call.resumes,
            pool=plan.pool.name,
            workspace=plan.workspace_name,
            send=trace.sent,
            ask=max(0, trace.permit_requests - 1),
            permit_by=placement.permit.granted_by,
            entries=state.entries,
            config_version=plan.version,
            config_age_seconds=round(state.freshness.age_seconds(), _DIGITS),
            servers_age_seconds=round(servers_age_seconds, _DIGITS),
            waited_seconds=round(trace.waited_seconds, _DIGITS),
            server_wait_seconds=round(candidate.wait_seconds, _DIGITS),
            shared_parts=self._call.prompt.shared_ids,
            new_tokens=candidate.prefill_tokens,
            again_tokens=candidate.recomputed_tokens,
        )


def _must_check_start(server: BackendServer, progress: Progress) -> bool:
    """Whether a stream continues at a server that may restart under its id."""
    continues = progress.splitter.last_event is not None
    return continues and server.started_milliseconds is not None


def _stream_start(
    placement: Placement, progress: Progress, mode: SendMode
) -> StreamStart:
    candidate = placement.candidate
    return StreamStart(
        progress,
        candidate.server.instance,
        candidate.prefill_tokens,
        mode.relief,
    )


def _prepare_reuse(
    connection: ServerConnection, attempt: ServerAttempt
) -> None:
    """Record how long a connection may stay idle; close it in mid-response."""
    if attempt.response is not None:
        connection.idle_limit_seconds = attempt.response.idle_seconds
    if attempt.done.result() is SendOutcome.UNKNOWN:
        connection.abort()
