"""One send of a request to one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus
from typing import Final

from sardinetrack.relay.api import Call, Dialect, ReplyHead
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.events import EventCutter
from sardinetrack.relay.server_connection import BreakReason, ReplySink

_MOST_BUFFERED_BYTES: Final = 16_777_216


class AttemptEnd(Enum):
    """How a send ended."""

    DELIVERED = auto()
    """The caller has the whole answer."""
    ANSWERED = auto()
    """The server's whole answer is at hand, and tells of a failure."""
    NOT_RUN = auto()
    """The server proves that it did not run the request."""
    UNKNOWN = auto()
    """It may have run; there is no whole answer."""


@dataclass(slots=True)
class Progress:
    """What the caller has of the answer; lives over all attempts."""

    cutter: EventCutter
    started: bool = False
    begun_seconds: float | None = None
    """When the first event came, on the clock of the event loop."""


class Attempt(ReplySink):
    """Passes events on as they come; holds any other answer until whole."""

    def __init__(
        self,
        call: Call,
        caller: CallerConnection,
        dialect: Dialect,
        progress: Progress,
        *,
        streams: bool,
        on_begun: Callable[[], None],
    ) -> None:
        """Prepare to take the answer."""
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[AttemptEnd] = loop.create_future()
        self.reply: ReplyHead | None = None
        self.reason = ''
        self.begun = False
        self.heard_seconds = loop.time()
        self.body = b''
        self._call = call
        self._caller = caller
        self._dialect = dialect
        self._progress = progress
        self._streams = streams
        self._on_begun = on_begun
        self._pieces: list[bytes] = []
        self._size = 0
        self._passes_on = False
        self._loop = loop

    @property
    def last_event(self) -> int | None:
        """The last event that the caller has."""
        return self._progress.cutter.last_event

    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Judge the head."""
        reply = self._dialect.reply(status, headers)
        self.reply = reply
        self.heard_seconds = self._loop.time()
        if reply.not_run:
            self._end(AttemptEnd.NOT_RUN, self._status)
            return
        # A late answer to an earlier request, or one that its server did not
        # sign, must not reach this caller.
        if reply.request_id != self._call.request_id:
            self._end(AttemptEnd.UNKNOWN, 'answer to another request')
        elif not reply.genuine:
            self._end(AttemptEnd.UNKNOWN, 'answer without signature')
        self._passes_on = self._streams and status == HTTPStatus.OK

    def piece(self, piece: bytes) -> None:
        """Pass whole events on, or hold the piece."""
        if self.done.done():
            return
        if not self._passes_on:
            self._hold(piece)
            return
        self.heard_seconds = self._loop.time()
        events = self._progress.cutter.feed(piece)
        if not events:
            return
        if not self.begun:
            self._begin()
        self._caller.piece(events)

    def whole(self) -> None:
        """Judge the whole answer."""
        if self.done.done():
            return
        if self._passes_on:
            self._end_stream()
        else:
            self._end_held()

    def broken(self, reason: BreakReason) -> None:
        """Note that the rest will not come."""
        self._end(AttemptEnd.UNKNOWN, reason.value)

    def silent(self) -> None:
        """Give up on a server that says nothing any more."""
        self._end(AttemptEnd.UNKNOWN, 'silent')

    def deliver_held(self) -> None:
        """Give the caller the answer that was held."""
        assert self.reply is not None  # noqa: S101
        self._caller.whole(
            self.reply.status,
            self.reply.forwarded,
            self.body,
        )

    @property
    def _status(self) -> str:
        status = 0 if self.reply is None else self.reply.status
        return f'status {status}'

    def _end_stream(self) -> None:
        if self._progress.cutter.torn or not self._progress.started:
            self._end(AttemptEnd.UNKNOWN, 'stream ends inside an event')
            return
        self._caller.finish()
        self._end(AttemptEnd.DELIVERED, '')

    def _end_held(self) -> None:
        if self.reply is None:
            self._end(AttemptEnd.UNKNOWN, 'no head')
            return
        self.body = b''.join(self._pieces)
        if self.reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._end(AttemptEnd.ANSWERED, self._status)
            return
        self.deliver_held()
        self._end(AttemptEnd.DELIVERED, '')

    def _hold(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size > _MOST_BUFFERED_BYTES:
            self._end(AttemptEnd.UNKNOWN, 'answer too large')
            return
        self._pieces.append(piece)

    def _begin(self) -> None:
        self.begun = True
        self._on_begun()
        reply = self.reply
        if not self._progress.started and reply is not None:
            self._progress.started = True
            self._progress.begun_seconds = self._loop.time()
            self._caller.start(reply.status, reply.forwarded)

    def _end(self, end: AttemptEnd, reason: str) -> None:
        if not self.done.done():
            self.reason = reason
            self.done.set_result(end)
