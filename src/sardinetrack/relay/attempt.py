"""One attempt to run a request on one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus
from typing import Final

from sardinetrack.relay.api import CallerRequest, ProtocolAdapter, ResponseHead
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.events import EventSplitter
from sardinetrack.relay.server_connection import BreakReason, ResponseSink

_MAX_BUFFERED_BYTES: Final = 16_777_216


class SendOutcome(Enum):
    """How an attempt ended."""

    DELIVERED = auto()
    """The caller has the complete response."""
    ANSWERED = auto()
    """A complete response that reports a failure is buffered."""
    NOT_RUN = auto()
    """The server proves that it did not run the request."""
    UNKNOWN = auto()
    """The request may have run; there is no complete response."""


@dataclass(slots=True)
class Progress:
    """What the caller has received so far, over all attempts."""

    splitter: EventSplitter
    started: bool = False
    first_event_seconds: float | None = None
    """When the first event arrived, on the clock of the event loop."""


class ServerAttempt(ResponseSink):
    """Forwards events as they arrive; buffers any other response."""

    def __init__(
        self,
        call: CallerRequest,
        caller: CallerConnection,
        adapter: ProtocolAdapter,
        progress: Progress,
        *,
        streams: bool,
        on_head: Callable[[ResponseHead], None],
        on_first_event: Callable[[], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[SendOutcome] = loop.create_future()
        self.response: ResponseHead | None = None
        self.reason = ''
        self.first_event_received = False
        self.last_data_seconds = loop.time()
        self.body = b''
        self._call = call
        self._caller = caller
        self._adapter = adapter
        self._progress = progress
        self._streams = streams
        self._on_head = on_head
        self._on_first_event = on_first_event
        self._pieces: list[bytes] = []
        self._size = 0
        self._forwards = False
        self._loop = loop

    @property
    def last_event(self) -> int | None:
        """The number of the last event that the caller has."""
        return self._progress.splitter.last_event

    def head_received(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Check the head; end the attempt if the response is not acceptable."""
        response = self._adapter.parse_response_head(status, headers)
        self._on_head(response)
        self.response = response
        self.last_data_seconds = self._loop.time()
        if response.not_run:
            self._finish(SendOutcome.NOT_RUN, self._status)
            return
        # A late response to an earlier request, or one without the server's
        # stamp, must not reach this caller.
        if response.request_id != self._call.request_id:
            self._finish(SendOutcome.UNKNOWN, 'response to another request')
        elif not response.is_signed:
            self._finish(
                SendOutcome.UNKNOWN, 'response without the server stamp'
            )
        self._forwards = self._streams and status == HTTPStatus.OK

    def body_received(self, piece: bytes) -> None:
        """Forward complete events, or buffer the piece."""
        if self.done.done():
            return
        if not self._forwards:
            self._buffer(piece)
            return
        self.last_data_seconds = self._loop.time()
        events = self._progress.splitter.feed(piece)
        if not events:
            return
        if not self.first_event_received:
            self._start_response()
        self._caller.write_chunk(events)

    def completed(self) -> None:
        """Handle the end of a complete response."""
        if self.done.done():
            return
        if self._forwards:
            self._finish_stream()
        else:
            self._finish_buffered()

    def interrupted(self, reason: BreakReason) -> None:
        """End the attempt: the rest of the response will not arrive."""
        self._finish(SendOutcome.UNKNOWN, reason.value)

    def abandon(self) -> None:
        """End the attempt: the server has sent nothing for too long."""
        self._finish(SendOutcome.UNKNOWN, 'silent')

    def deliver_buffered(self) -> None:
        """Send the buffered response to the caller."""
        assert self.response is not None  # noqa: S101
        self._caller.write_response(
            self.response.status,
            self.response.forwarded,
            self.body,
        )

    @property
    def _status(self) -> str:
        status = 0 if self.response is None else self.response.status
        return f'status {status}'

    def _finish_stream(self) -> None:
        if (
            self._progress.splitter.ends_inside_event
            or not self._progress.started
        ):
            self._finish(SendOutcome.UNKNOWN, 'stream ended inside an event')
            return
        self._caller.finish_response()
        self._finish(SendOutcome.DELIVERED, '')

    def _finish_buffered(self) -> None:
        if self.response is None:
            self._finish(SendOutcome.UNKNOWN, 'no response head')
            return
        self.body = b''.join(self._pieces)
        if self.response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._finish(SendOutcome.ANSWERED, self._status)
            return
        self.deliver_buffered()
        self._finish(SendOutcome.DELIVERED, '')

    def _buffer(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size > _MAX_BUFFERED_BYTES:
            self._finish(SendOutcome.UNKNOWN, 'response too large')
            return
        self._pieces.append(piece)

    def _start_response(self) -> None:
        self.first_event_received = True
        self._on_first_event()
        response = self.response
        if not self._progress.started and response is not None:
            self._progress.started = True
            self._progress.first_event_seconds = self._loop.time()
            self._caller.start_response(response.status, response.forwarded)

    def _finish(self, outcome: SendOutcome, reason: str) -> None:
        if not self.done.done():
            self.reason = reason
            self.done.set_result(outcome)
