"""Decides whether a response is complete that ended with its connection.

Without a length or chunks a response states no end of its own, and a connection
also ends when a run is stopped for a move, when the server crashes, or when it
is replaced. So the end of the connection alone completes no response.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from types import TracebackType
from typing import Final, Self

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import (
    KvMoveResult,
    ProtocolAdapter,
    ServerReport,
)
from sardinetrack.relay.attempt import ServerAttempt
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.relay.server_probes import ServerProbes
from sardinetrack.relay.trace import Placement
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.servers import BackendServer

_NOT_STOPPED: Final = frozenset(
    (KvMoveResult.BUSY, KvMoveResult.NO_RUN, KvMoveResult.NOT_SENT)
)
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
    CUT = 'cut'
    """The server has made more events than have arrived."""
    RESET = 'reset'
    """A reset followed the close."""
    UNDECIDED = 'undecided'
    """The attempt ended for another reason before this was known."""


@dataclass(frozen=True, slots=True)
class _Close:
    """What was known when the connection ended."""

    at_seconds: float
    """On the clock of the event loop."""
    stop_reply: asyncio.Future[KvMoveResult] | None
    """A call that is sent later has not ended it."""
    former_report: ServerReport | None
    """The newest one of the server at that time, if there was one."""


class ClosedResponse:
    """Settles an attempt whose response ends with its connection.

    As a context it watches the attempt; only the end waits, never an event.
    """

    def __init__(
        self,
        state: EntryState,
        adapter: ProtocolAdapter,
        placement: Placement,
        connection: ServerConnection,
        attempt: ServerAttempt,
        *,
        pool: Pool,
    ) -> None:
        """Watch one attempt.

        :param placement: its server, and the permit, which is released before
            the check: the server has ended its work.
        :param pool: of the server.
        """
        self._state = state
        self._adapter = adapter
        self._placement = placement
        self._connection = connection
        self._attempt = attempt
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._entered = False
        self._first_probe: asyncio.Task[ServerReport | None] | None = None
        self._check: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Watch the attempt."""
        self._entered = True
        self._attempt.opened.add_done_callback(self._ask_at_head)
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
        self._attempt.opened.remove_done_callback(self._ask_at_head)
        self._attempt.closed.remove_done_callback(self._begin)
        tasks = {one for one in (self._first_probe, self._check) if one}
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        for task in tasks:
            if not task.cancelled():
                task.result()

    @property
    def _server(self) -> BackendServer:
        return self._placement.candidate.server

    @property
    def _probes(self) -> ServerProbes:
        return self._state.server_states.probes

    def _ask_at_head(self, _: object) -> None:
        """Find out which start responds, of a server that keeps its id.

        The list lags behind a restart; what the report at the end says would
        then not be about the start that is listed.
        """
        if self._entered and self._server.started_milliseconds is not None:
            self._first_probe = self._loop.create_task(self._probe())

    def _begin(self, _: object) -> None:
        # The callback of a close in the last moment comes after the block.
        if not self._entered or self._attempt.done.done():
            return
        close = _Close(
            self._loop.time(),
            self._attempt.stop_reply,
            self._probes.reports.get(self._server.instance),
        )
        self._check = self._loop.create_task(self._settle(close))

    async def _settle(self, close: _Close) -> None:
        verdict = EndVerdict.UNDECIDED
        try:
            verdict = await self._decide(close)
        finally:
            self._record(verdict, close)
            self._attempt.settle(complete=verdict is EndVerdict.COMPLETE)

    async def _decide(self, close: _Close) -> EndVerdict:
        if await _may_be_stopped(close.stop_reply):
            return EndVerdict.RUN_STOPPED
        self._placement.permit.release(complete=True)
        report = await self._probe()
        if self._connection.was_reset:
            return EndVerdict.RESET
        if report is None or not self._is_same_start(report, close):
            return EndVerdict.SERVER_ENDED
        if self._lacks_events(report):
            return EndVerdict.CUT
        return EndVerdict.COMPLETE

    def _lacks_events(self, report: ServerReport) -> bool:
        """Whether a report lists more events than have arrived."""
        made = report.events.get(self._attempt.call.sent_id, 0)
        last_event = self._attempt.last_event
        # Servers may number events from 0.
        return last_event is not None and made > last_event + 1

    async def _probe(self) -> ServerReport | None:
        return await self._probes.ask(self._adapter, self._server, self._pool)

    def _is_same_start(self, report: ServerReport, close: _Close) -> bool:
        """Whether a report is of the start that has sent the response."""
        if report.instance not in {None, self._server.instance}:
            return False
        listed = self._server.started_milliseconds
        if listed is None:
            return not self._state.servers.is_replaced(self._server)
        former = close.former_report
        began = listed if former is None else former.started_milliseconds
        return report.started_milliseconds == began

    def _record(self, verdict: EndVerdict, close: _Close) -> None:
        attempt, state = self._attempt, self._state
        seconds = self._loop.time() - close.at_seconds
        state.meters.closed[verdict] += 1
        state.log.write(
            Event.RESPONSE_CLOSED,
            request=attempt.call.request_id,
            server=self._server.instance,
            last_event=attempt.last_event,
            stop_reply=_name_of(close.stop_reply),
            verdict=verdict.value,
            seconds=round(seconds, _DIGITS),
        )


async def _may_be_stopped(reply: asyncio.Future[KvMoveResult] | None) -> bool:
    """Whether a move has stopped a run, as far as is known.

    A server that has stopped a run, and whose reply was lost, may respond to a
    second call that it has no such run: only the first reply counts.
    """
    if reply is None:
        return False
    await asyncio.wait({reply})
    return reply.cancelled() or reply.result() not in _NOT_STOPPED


def _name_of(reply: asyncio.Future[KvMoveResult] | None) -> str | None:
    if reply is None or not reply.done() or reply.cancelled():
        return None
    return reply.result().name.lower()
