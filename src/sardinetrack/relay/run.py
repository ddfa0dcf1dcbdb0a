"""One run of a request, with where its stream moves and what relieves it."""

from __future__ import annotations

import math
from functools import partial
from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.relay.attempt import Progress, SendOutcome, ServerAttempt
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.movable_stream import MovableStream
from sardinetrack.relay.move_tools import MoveTools
from sardinetrack.relay.relief import Relief, ReliefOutcome, SendRelief
from sardinetrack.relay.send_mode import SendMode
from sardinetrack.relay.sender import Sender
from sardinetrack.relay.silence import max_silence_seconds
from sardinetrack.relay.trace import Placement
from sardinetrack.topology.configuration import RouteKind
from sardinetrack.topology.servers import BackendServer

_DIGITS: Final = 3


class Run:
    """Sends a request once, and watches the server that runs it."""

    def __init__(
        self,
        tools: MoveTools,
        caller: CallerConnection,
        progress: Progress,
        takes_over: Relief | None = None,
    ) -> None:
        """Prepare to send.

        :param takes_over: set if another run's server is silent.
        """
        self.relief: Relief | None = None
        """The latest attempt to relieve the server of this run."""
        self.finished = False
        """Whether nothing is sent any more."""
        self._tools = tools
        self._caller = caller
        self._progress = progress
        self._takes_over = takes_over
        self._sender = Sender(
            tools.state, tools.adapter, tools.call, caller, tools.trace
        )
        self._movable: MovableStream | None = None
        self._relief_due_seconds = -math.inf

    @property
    def attempt(self) -> ServerAttempt | None:
        """The latest attempt."""
        return self._sender.attempt

    @property
    def server(self) -> BackendServer | None:
        """The server of the latest attempt."""
        return self._sender.server

    @property
    def ended(self) -> bool:
        """Whether the latest attempt has ended."""
        return self.attempt is not None and self.attempt.done.done()

    @property
    def waits_to_send(self) -> bool:
        """Whether no server has the request from here, but one may get it."""
        if self.relief is not None and self.finished:
            return self.relief.pending
        return self.finished or self.attempt is None

    async def send(self, placement: Placement) -> ServerAttempt:
        """Send to one server, or on from there while its engine leaves.

        :return: as :meth:`Sender.send`, with the same errors.
        """
        moves = self._tools.plan.has_movable_streams
        placement = placement.held()
        try:
            return await (self._move if moves else self._stay)(placement)
        finally:
            self.finished = True
            placement.permit.release(complete=self._sender.caller_has_all)

    def relieve(self, now: float, send: SendRelief | None) -> None:
        """Let another attempt take over; see :class:`Relief`.

        :param send: as for :class:`Relief`; ``None`` if none is allowed.
        """
        attempt = self.attempt
        assert attempt is not None  # noqa: S101
        report = partial(
            self._report_silence, self.silent_seconds(now), attempt.last_event
        )
        if send is None:
            report(ReliefOutcome.NOT_ALLOWED)
        else:
            route = self._tools.plan.route
            max_seconds = max_silence_seconds(route, started=False)
            self.relief = Relief(attempt, send, report, max_seconds)

    async def last_attempt(self, attempt: ServerAttempt) -> ServerAttempt:
        """Return the attempt that ended last, of those that took over.

        :param attempt: of this run, which has ended.
        """
        delivered = attempt.done.result() is SendOutcome.DELIVERED
        if self.relief is None or delivered:
            return attempt
        return await self.relief.attempt() or attempt

    async def end_relief(self) -> None:
        """Cancel what would take over."""
        if self.relief is not None:
            await self.relief.end()

    @property
    def server_restarted(self) -> bool:
        """Whether a later start of the server is known than was addressed.

        It knows nothing of the requests sent to its former start; but the list
        of servers lags, so this one may have been sent to the later start.
        """
        state, server = self._tools.state, self._sender.server
        if server is None or not state.is_superseded(server):
            return False
        return not self._tools.trace.origin_is_doubtful(state.servers)

    def check_restart(self) -> None:
        """Abandon a request without a stream whose server has restarted.

        It runs again elsewhere at no cost to its caller, who has nothing of it.
        """
        route, attempt = self._tools.plan.route, self.attempt
        if attempt is None or route.kind is not RouteKind.IDEMPOTENT:
            return
        if self.server_restarted:
            attempt.abandon()

    def check_move(self, now: float) -> None:
        """Start the move of the stream if it is due."""
        if self._movable is not None:
            self._movable.check(now)

    def silent_seconds(self, now: float) -> float:
        """Return how long the server has sent nothing, though it was read.

        While reading is paused for a slow caller, a working server looks
        silent too.
        """
        flow, attempt = self._tools.flow, self.attempt
        if flow.paused or attempt is None:
            return 0
        return now - max(attempt.last_data_seconds, flow.resumed_seconds)

    def is_relief_due(self, now: float) -> bool:
        """Whether the server is silent for too long, and not to be waited for.

        An unreachable server sends no reset; without a relief its streams would
        hang until their callers give up.
        """
        attempt = self.attempt
        if attempt is None or self.ended or self._is_moving:
            return False
        if attempt.closed.done():
            # Its server has ended the response, and only that end is checked.
            return False
        allowed = max_silence_seconds(
            self._tools.plan.route, started=attempt.first_event_received
        )
        if now < self._relief_due_seconds or not math.isfinite(allowed):
            return False
        is_silent = self.silent_seconds(now) > allowed
        if not is_silent and not self.server_restarted:
            return False
        self._relief_due_seconds = now + allowed
        return True

    @property
    def _is_moving(self) -> bool:
        return self._movable is not None and self._movable.moving

    def _report_silence(
        self,
        silent_seconds: float,
        last_event: int | None,
        outcome: ReliefOutcome,
    ) -> None:
        tools, server = self._tools, self._sender.server
        state = tools.state
        state.meters.streams.silences[outcome] += 1
        state.log.write(
            Event.SERVER_SILENT,
            request=tools.call.request_id,
            server=server and server.instance,
            silent_seconds=round(silent_seconds, _DIGITS),
            last_event=last_event,
            outcome=outcome.value,
            sends=tools.trace.sent,
        )

    async def _stay(self, placement: Placement) -> ServerAttempt:
        mode = SendMode(relief=self._takes_over)
        plan = self._tools.plan
        return await self._sender.send(plan, placement, self._progress, mode)

    async def _move(self, placement: Placement) -> ServerAttempt:
        movable = MovableStream(
            self._tools, self._sender, self._progress, self._takes_over
        )
        self._movable = movable
        try:
            async with movable:
                return await movable.send(placement)
        finally:
            self._movable = None
