"""Sends a request whose stream may move to another engine."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from types import TracebackType
from typing import Any, Final, Self

from sardinetrack.relay.attempt import Progress, ServerAttempt
from sardinetrack.relay.connection_pool import NotConnectedError
from sardinetrack.relay.move_reason import MoveReason, meets_long_pauses
from sardinetrack.relay.move_steps import SILENCE_SECONDS, RunningMove
from sardinetrack.relay.move_tools import MoveTools
from sardinetrack.relay.relief import Relief
from sardinetrack.relay.send_mode import SendMode, await_end
from sardinetrack.relay.sender import Sender
from sardinetrack.relay.server_states import ServerUnavailableError
from sardinetrack.relay.stream_move import MoveSchedule
from sardinetrack.relay.trace import Placement
from sardinetrack.topology.servers import BackendServer

_SEND_AGAIN_SECONDS: Final = 0.1
"""Between two tries to send to a source that does not respond."""


class MovableStream:
    """One run of a request, on one engine after the other.

    As a context it holds what its moves hold, and the permits at the engines
    that the stream has moved to.
    """

    def __init__(
        self,
        tools: MoveTools,
        sender: Sender,
        progress: Progress,
        relief: Relief | None = None,
    ) -> None:
        """Prepare to send.

        :param progress: of the request.
        :param relief: set if the first attempt takes over from a silent server.
        """
        self._tools = tools
        self._sender = sender
        self._progress = progress
        self._relief = relief
        self._loop = asyncio.get_running_loop()
        self._stack = AsyncExitStack()
        self._schedule = MoveSchedule()
        self._attempt: ServerAttempt | None = None
        self._move: RunningMove | None = None
        self._due: asyncio.Future[MoveReason] = self._loop.create_future()
        self._has_begun_move = False
        """Whether the move that is due has begun."""
        self._has_left_pauses = False
        """At most one move for this reason: copies take time on the links."""

    async def __aenter__(self) -> Self:
        """Hold nothing yet."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release what is held."""
        await self._stack.__aexit__(kind, error, trace)

    @property
    def moving(self) -> bool:
        """Whether the steps run in which the source's run may be stopped."""
        if self._due.done() and not self._has_begun_move:
            return True
        move = self._move
        if move is None or move.machine.outcome is not None:
            return False
        return not move.machine.sends

    def check(self, now: float) -> None:
        """Start the move if it is due; called several times a second."""
        attempt, server = self._attempt, self._sender.server
        if attempt is None or server is None or self._due.done():
            return
        if attempt.closed.done() or not attempt.first_event_received:
            return
        if not attempt.is_continuable:
            return
        reason = self._reason(now, server)
        if reason is not None:
            self._due.set_result(reason)

    def _reason(self, now: float, server: BackendServer) -> MoveReason | None:
        leaving = self._tools.state.is_leaving(server)
        if self._schedule.is_due(now, leaving=leaving, has_events=True):
            return MoveReason.LEAVING
        if leaving or self._has_left_pauses:
            return None
        return MoveReason.PAUSES if self._pauses(server) else None

    def _pauses(self, server: BackendServer) -> bool:
        """Whether it pauses for too long here, and would not elsewhere."""
        state, plan = self._tools.state, self._tools.plan
        loads, gap = state.server_states.loads, plan.route.event_gap_seconds
        tokens = self._tools.call.prompt.output_tokens
        if not meets_long_pauses(loads.get(server.instance), tokens, gap):
            return False
        now = self._loop.time()
        return bool(self._tools.destinations(now, MoveReason.PAUSES))

    async def send(self, placement: Placement) -> ServerAttempt:
        """Send, and send on as often as the engine leaves.

        :return: the last attempt that may have run; as :meth:`Sender.send`.
        """
        follow = partial(self._follow, placement)
        attempt = await self._sender.send(
            self._tools.plan,
            placement,
            self._progress,
            SendMode(follow, relief=self._relief),
        )
        while self._move is not None and self._move.machine.sends:
            attempt = await self._send_on(self._move, attempt)
        return attempt

    async def _send_on(
        self, move: RunningMove, stopped: ServerAttempt
    ) -> ServerAttempt:
        """Send the request on from where its run has stopped.

        An attempt that proves to have run nothing is not returned: the run
        itself did happen, so the request may not be repeated for that.
        """
        placement = move.placement
        is_return = placement is not move.destination
        # The engine still leaves, but one move is tried of each attempt.
        follow = await_end if is_return else partial(self._follow, placement)
        mode = SendMode(follow, move.kv_source, is_return)
        if not is_return:
            self._stack.callback(self._release, placement)
        try:
            attempt = await self._send_in_time(placement, mode)
        except (NotConnectedError, ServerUnavailableError) as error:
            await move.sent(None, str(error) or 'not available')
            return stopped
        not_run = await move.sent(attempt.done.result(), attempt.reason)
        return stopped if not_run else attempt

    async def _send_in_time(
        self, placement: Placement, mode: SendMode
    ) -> ServerAttempt:
        """Send; a source that has kept the memory may be silent for a while.

        :raises NotConnectedError: nothing was sent.
        """
        send = partial(
            self._sender.send,
            self._tools.plan,
            placement,
            self._progress,
            mode,
        )
        due = self._loop.time() + SILENCE_SECONDS
        while mode.is_return and self._loop.time() < due:
            try:
                return await send()
            except NotConnectedError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    raise
            await asyncio.sleep(_SEND_AGAIN_SECONDS)
        return await send()

    def _release(self, placement: Placement) -> None:
        complete = self._sender.caller_has_all
        placement.permit.release(complete=complete)

    async def _follow(
        self, placement: Placement, attempt: ServerAttempt
    ) -> bool:
        """Wait for the end of an attempt, or move its stream."""
        self._attempt = attempt
        self._schedule = MoveSchedule()
        self._due = self._loop.create_future()
        self._has_begun_move = False
        awaited: set[asyncio.Future[Any]] = {attempt.done, self._due}
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        if attempt.done.done():
            return False
        reason = self._due.result()
        self._has_left_pauses |= reason is MoveReason.PAUSES
        move = RunningMove(self._tools, placement, attempt, reason)
        await self._stack.enter_async_context(move)
        self._move = move
        self._has_begun_move = True
        return await move.stop_source()
