"""Decides whether a response is complete that ended with its connection.

Without a length or chunks a response states no end of its own, and a connection
also ends when a run is stopped for a move, when the server crashes, or when it
is replaced. So the end of the connection alone completes no response.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from types import TracebackType
from typing import Final, Self

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import KvMoveResult, ProtocolAdapter
from sardinetrack.relay.attempt import ServerAttempt
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.topology.servers import BackendServer

_NOT_STOPPED: Final = frozenset((KvMoveResult.NO_RUN, KvMoveResult.NOT_SENT))
"""Replies after which the call has stopped no run, now or later."""
_DIGITS: Final = 3


class EndVerdict(StrEnum):
    """What the end of a connection was; the label of its metric."""

    COMPLETE = 'complete'
    """The response is complete."""
    RUN_STOPPED = 'run_stopped'
    """Its run was stopped for a move, or may have been."""
    SERVER_ENDED = 'server_ended'
    """The server does not respond any more, or another start of it does."""
    RESET = 'reset'
    """A reset followed the close."""
    UNDECIDED = 'undecided'
    """The attempt ended for another reason before this was known."""


class ClosedResponse:
    """Settles an attempt whose response ends with its connection.

    As a context it watches the attempt; only the end waits, never an event.
    """

    def __init__(
        self,
        state: EntryState,
        adapter: ProtocolAdapter,
        server: BackendServer,
        connection: ServerConnection,
        attempt: ServerAttempt,
        *,
        reports: bool,
    ) -> None:
        """Watch one attempt.

        :param reports: whether the server is a model engine.
        """
        self._state = state
        self._adapter = adapter
        self._server = server
        self._connection = connection
        self._attempt = attempt
        self._reports = reports
        self._loop = asyncio.get_running_loop()
        self._entered = False
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Watch the attempt."""
        self._entered = True
        self._attempt.closed.add_done_callback(self._begin)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching it."""
        self._entered = False
        self._attempt.closed.remove_done_callback(self._begin)
        task = self._task
        if task is None:
            return
        task.cancel()
        await asyncio.wait({task})
        if not task.cancelled():
            task.result()

    def _begin(self, _: object) -> None:
        # The callback of a close in the last moment comes after the block.
        if self._entered and not self._attempt.done.done():
            self._task = self._loop.create_task(self._settle())

    async def _settle(self) -> None:
        began_seconds = self._loop.time()
        verdict = EndVerdict.UNDECIDED
        try:
            verdict = await self._decide()
        finally:
            self._record(verdict, self._loop.time() - began_seconds)
            self._attempt.settle(complete=verdict is EndVerdict.COMPLETE)

    async def _decide(self) -> EndVerdict:
        if await self._may_be_stopped():
            return EndVerdict.RUN_STOPPED
        is_running = await self._state.server_states.probes.is_running(
            self._adapter, self._server, reports=self._reports
        )
        if await self._may_be_stopped():
            return EndVerdict.RUN_STOPPED
        if self._connection.was_reset:
            return EndVerdict.RESET
        return EndVerdict.COMPLETE if is_running else EndVerdict.SERVER_ENDED

    async def _may_be_stopped(self) -> bool:
        """Whether a move has stopped the run, as far as is known.

        A server that has stopped a run, and whose reply was lost, may respond
        to a second call that it has no such run: only the first reply counts.
        """
        reply = self._attempt.stop_reply
        if reply is None:
            return False
        await asyncio.wait({reply})
        return reply.cancelled() or reply.result() not in _NOT_STOPPED

    def _record(self, verdict: EndVerdict, seconds: float) -> None:
        attempt, state = self._attempt, self._state
        state.meters.closed[verdict] += 1
        state.log.write(
            Event.RESPONSE_CLOSED,
            request=attempt.request_id,
            server=self._server.instance,
            last_event=attempt.last_event,
            stop_reply=_name_of(attempt.stop_reply),
            verdict=verdict.value,
            seconds=round(seconds, _DIGITS),
        )


def _name_of(reply: asyncio.Future[KvMoveResult] | None) -> str | None:
    if reply is None or not reply.done() or reply.cancelled():
        return None
    return reply.result().name.lower()
