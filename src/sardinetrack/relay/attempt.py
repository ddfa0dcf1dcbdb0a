"""One attempt to run a request on one backend server."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus
from typing import Final, Self

from sardinetrack.relay.api import (
    CallerRequest,
    KvMoveResult,
    ProtocolAdapter,
    ResponseHead,
)
from sardinetrack.relay.byte_buffer import ByteBuffer
from sardinetrack.relay.caller_response import CallerResponse
from sardinetrack.relay.events import EventSplitter
from sardinetrack.relay.flow_control import FlowControl
from sardinetrack.relay.pauses import StreamPauses
from sardinetrack.relay.response_sink import (
    BreakReason,
    ResponseEnd,
    ResponseSink,
)
from sardinetrack.relay.server_connection import ServerConnection

_MAX_BUFFERED_BYTES: Final = 16_777_216
_CUT_STREAM: Final = 'stream ended inside an event'
_SERVER_ENDS: Final = frozenset(
    (BreakReason.CLOSED.value, BreakReason.RESET.value, _CUT_STREAM)
)


class SendOutcome(Enum):
    """How an attempt ended."""

    DELIVERED = auto()
    """The caller has the complete response."""
    ANSWERED = auto()
    """A complete response is buffered: it reports a failure, or can't continue
    the one that the caller has in part."""
    NOT_RUN = auto()
    """The server proves that it did not run the request."""
    UNKNOWN = auto()
    """The request may have run; there is no complete response."""


@dataclass(slots=True)
class Progress:
    """What the caller has received so far, over all attempts."""

    splitter: EventSplitter
    pauses: StreamPauses
    first_event_seconds: float | None = None
    """When the first event arrived, on the clock of the event loop."""

    @classmethod
    def of(cls, call: CallerRequest, flow: FlowControl) -> Self:
        """Begin after the events that the caller already has."""
        return cls(EventSplitter(call.last_event_id), StreamPauses(flow))


class ResponseClaim(ABC):
    """Claims the caller's response, which another attempt may still bring."""

    accepted: bool
    """Whether the caller gets the response of the attempt that claims."""

    @abstractmethod
    def announce(self, done: asyncio.Future[SendOutcome]) -> None:
        """Handle the head of a stream, before its first bytes.

        :param done: set at the end of the attempt that claims.
        """

    @abstractmethod
    def accept(self, *, is_stream: bool) -> bool:
        """Return whether the caller gets the response of this attempt."""


@dataclass(frozen=True, slots=True)
class StreamStart:
    """What precedes the response to one attempt."""

    progress: Progress
    server: str
    """Its instance."""
    prefill_tokens: int
    claim: ResponseClaim | None = None
    """Of an attempt that takes over from another one."""

    def begin(self, *, is_stream: bool) -> bool:
        """Prepare for the response; return whether the caller may get it."""
        claim = self.claim
        if claim is not None and not claim.accept(is_stream=is_stream):
            return False
        progress = self.progress
        progress.splitter.resume()
        now = asyncio.get_running_loop().time()
        progress.pauses.begin_attempt(now, self.server, self.prefill_tokens)
        return True


class AttemptObserver(ABC):
    """Learns from a response before it is complete."""

    @abstractmethod
    def head_received(self, response: ResponseHead) -> None:
        """Handle the head of any response, also of one to another request."""

    @abstractmethod
    def response_discarded(self, response: ResponseHead, cause: str) -> None:
        """Handle the head of a response that may be to another request."""

    @abstractmethod
    def first_event_received(self) -> None:
        """Handle the first event of the stream."""


class ServerAttempt(ResponseSink):
    """Forwards events as they arrive; buffers any other response."""

    def __init__(
        self,
        call: CallerRequest,
        caller_response: CallerResponse,
        adapter: ProtocolAdapter,
        start: StreamStart,
        *,
        streams: bool,
        connection: ServerConnection,
        observer: AttemptObserver,
    ) -> None:
        """Create an attempt that is not sent.

        :param streams: whether a successful response is a stream of events.
        """
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[SendOutcome] = loop.create_future()
        self.response: ResponseHead | None = None
        """The head of the response to this request."""
        self.reason = ''
        self.first_event_received = False
        self.closed: asyncio.Future[None] = loop.create_future()
        """Set when the connection ends a response that states no length, and
        what has arrived may be all of it; :meth:`settle` follows."""
        self.opened: asyncio.Future[None] = loop.create_future()
        """Set at the head of a response that may be closed."""
        self.stop_reply: asyncio.Future[KvMoveResult] | None = None
        """To the call that stops the run for a move, if it was sent."""
        self.last_data_seconds = loop.time()
        self.body = b''
        self._call = call
        self._caller_response = caller_response
        self._adapter = adapter
        self._start = start
        self._progress = start.progress
        self._streams = streams
        self._connection = connection
        self._connection_unused = connection.unused
        self._observer = observer
        self._buffer = ByteBuffer()
        self._forwards = False
        self._begun = False
        self._loop = loop

    @property
    def call(self) -> CallerRequest:
        """The request that it sends."""
        return self._call

    @property
    def last_event(self) -> int | None:
        """The number of the last event that the caller has."""
        return self._progress.splitter.last_event

    @property
    def is_continuable(self) -> bool:
        """Whether another run can go on without repeating an event."""
        splitter = self._progress.splitter
        return splitter.last_event is not None and splitter.is_continuable

    def head_received(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        skippable: bool,
    ) -> bool:
        """Check the head; end the attempt if the response is not acceptable.

        :return: whether it is a late one to another request, to be skipped.
        """
        response = self._adapter.parse_response_head(status, headers)
        self._observer.head_received(response)
        self.last_data_seconds = self._loop.time()
        doubt = self._attribution_doubt(response)
        if not doubt:
            self._accept(response)
            return False
        self._observer.response_discarded(response, doubt)
        # Whatever follows without an id may be late as well.
        self._connection_unused = False
        # Only a second response to an earlier request of this connection is
        # known to be followed by the one to this request.
        if skippable and self._is_late(response):
            return True
        self._finish(SendOutcome.UNKNOWN, doubt)
        return False

    def _is_late(self, response: ResponseHead) -> bool:
        """Whether an earlier request on this connection had this id."""
        request_id = response.request_id
        return bool(request_id) and self._connection.has_carried(request_id)

    def _accept(self, response: ResponseHead) -> None:
        self.response = response
        if response.not_run:
            self._finish(SendOutcome.NOT_RUN, self._status)
            return
        if not response.is_signed:
            self._finish(
                SendOutcome.UNKNOWN, 'response without the server stamp'
            )
            return
        self._forwards = self._streams and response.status == HTTPStatus.OK
        if not self._connection.states_end:
            self.opened.set_result(None)
        claim = self._start.claim
        if self._forwards and claim is not None:
            claim.announce(self.done)
        else:
            self._begin()

    def _begin(self) -> bool:
        """Prepare for the response once; end if the caller may not get it."""
        if not self._begun:
            self._begun = self._start.begin(is_stream=self._forwards)
        if not self._begun:
            self._finish(SendOutcome.UNKNOWN, self._status)
        return self._begun

    def body_received(self, piece: bytes) -> None:
        """Forward complete events, or buffer the piece."""
        if self.done.done():
            return
        if not self._forwards:
            self._add_to_buffer(piece)
            return
        if not self._begun and not self._begin():
            return
        now = self._loop.time()
        self.last_data_seconds = now
        splitter = self._progress.splitter
        events = splitter.feed(piece)
        if splitter.is_oversized:
            self._finish(SendOutcome.UNKNOWN, 'event too large')
        if not events:
            return
        if not self.first_event_received:
            self._start_response()
        self._progress.pauses.events_forwarded(now, events)
        self._caller_response.write_chunk(events)

    def completed(self, end: ResponseEnd) -> None:
        """Handle the end of a response."""
        if self.done.done():
            return
        if self._forwards and self._is_cut:
            self._finish(SendOutcome.UNKNOWN, _CUT_STREAM)
        elif end is ResponseEnd.CLOSED:
            self.closed.set_result(None)
        else:
            self._finish_response()

    def settle(self, *, complete: bool) -> None:
        """End an attempt whose response ended with its connection.

        :param complete: whether the response is; else the rest is missing.
        """
        if self.done.done():
            return
        if complete:
            self._finish_response()
        else:
            self._finish(SendOutcome.UNKNOWN, BreakReason.CLOSED.value)

    @contextmanager
    def stopping(self) -> Iterator[asyncio.Future[KvMoveResult]]:
        """Send the call that stops the run in this block.

        :return: to be set to the reply; a block without one cancels it.
        """
        self.stop_reply = self._loop.create_future()
        try:
            yield self.stop_reply
        finally:
            self.stop_reply.cancel()

    def interrupted(self, reason: BreakReason) -> None:
        """End the attempt: the rest of the response will not arrive."""
        self._finish(SendOutcome.UNKNOWN, reason.value)

    def abandon(self) -> None:
        """End the attempt: the server has sent nothing for too long."""
        self._finish(SendOutcome.UNKNOWN, 'silent')

    def deliver_buffered(self) -> None:
        """Send the buffered response to the caller."""
        assert self.response is not None  # noqa: S101
        self._caller_response.send(
            self.response.status,
            self.response.forwarded,
            self.body,
        )

    def _attribution_doubt(self, response: ResponseHead) -> str:
        """Return why a response may not be the one to this request, or ''.

        A late second response to an earlier request proves nothing about this
        one, whatever its status.
        """
        if response.request_id == self._call.sent_id:
            return ''
        if response.request_id:
            return 'response to another request'
        if response.not_run and self._connection_unused:
            # No earlier request on this connection could be meant.
            return ''
        return 'response without a request id'

    @property
    def failed(self) -> bool:
        """Whether the server reports a failure of its own."""
        response = self.response
        return (
            response is not None
            and response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )

    @property
    def interrupted_by_server(self) -> bool:
        """Whether the server's end of the connection came too early.

        So it does in a crash too, also where a response without a length ends
        with its connection.
        """
        return self.reason in _SERVER_ENDS

    @property
    def _status(self) -> str:
        status = 0 if self.response is None else self.response.status
        return f'status {status}'

    @property
    def _is_cut(self) -> bool:
        """Whether a stream that ends now can't be complete."""
        claim = self._start.claim
        if claim is not None and not claim.accepted:
            # It has sent no event, and the other attempt may bring some.
            return True
        inside_event = self._progress.splitter.ends_inside_event
        return inside_event or not self._caller_response.started

    def _finish_response(self) -> None:
        if self._forwards:
            self._caller_response.finish()
            self._finish(SendOutcome.DELIVERED, '')
        else:
            self._finish_buffered()

    def _finish_buffered(self) -> None:
        if self.response is None:
            self._finish(SendOutcome.UNKNOWN, 'no response head')
            return
        self.body = bytes(self._buffer.content())
        if self._adapter.contains_response(self.body):
            self._finish(SendOutcome.UNKNOWN, 'response within a response')
            return
        if self.failed or self._caller_response.started:
            self._finish(SendOutcome.ANSWERED, self._status)
            return
        self.deliver_buffered()
        self._finish(SendOutcome.DELIVERED, '')

    def _add_to_buffer(self, piece: bytes) -> None:
        if len(self._buffer) + len(piece) > _MAX_BUFFERED_BYTES:
            self._finish(SendOutcome.UNKNOWN, 'response too large')
            return
        self._buffer.append(piece)

    def _start_response(self) -> None:
        self.first_event_received = True
        self._observer.first_event_received()
        response = self.response
        if not self._caller_response.started and response is not None:
            self._progress.first_event_seconds = self._loop.time()
            self._caller_response.start(response.status, response.forwarded)

    def _finish(self, outcome: SendOutcome, reason: str) -> None:
        if not self.done.done():
            self.reason = reason
            self.done.set_result(outcome)
