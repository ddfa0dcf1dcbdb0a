"""A caller's connection: reads requests, writes responses, one at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Final, NamedTuple, cast

import httptools

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.sockets import file_descriptor, has_unread_data
from sardinetrack.relay.api import CallerRequest, Headers, ProtocolAdapter
from sardinetrack.relay.caller_response import CallerResponse
from sardinetrack.relay.connection_owner import ConnectionOwner
from sardinetrack.relay.error_response import error_response
from sardinetrack.relay.flow_control import FlowControl
from sardinetrack.relay.request_body import RequestBody

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_EXPECTS_CONTINUE: Final = (b'expect', b'100-continue')
_HEAD: Final = b'HEAD'
_LENGTH: Final = b'content-length'
MAX_TARGET_BYTES: Final = 65_536
"""Allowed for the first line of a request, beside the limit on its headers."""
_NO_MEMORY: Final = 'This instance has no memory for the body now; not run.'
_MAX_PIPELINED: Final = 16
"""Pipelined requests that may wait for earlier responses on one connection."""


class _Rejection(NamedTuple):
    error: RequestError
    bodiless: bool = False
    call: CallerRequest | None = None
    """The head of the request, if it can be parsed."""


class CallerConnection(asyncio.Protocol):
    """Parses requests, writes responses and detects a disconnected caller."""

    def __init__(
        self, adapter: ProtocolAdapter, owner: ConnectionOwner
    ) -> None:
        """Create the connection; asyncio supplies the transport later.

        :param adapter: parses the heads of requests.
        :param owner: the entry that serves the requests.
        """
        self._adapter = adapter
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._bodiless_bytes = 0
        self._target = b''
        self._head: CallerRequest | None = None
        self._call: CallerRequest | None = None
        self._body: RequestBody | None = None
        self._rejection: RequestError | None = None
        self._rejected_early = False
        self._awaits_continue = False
        self._task: asyncio.Task[None] | None = None
        self._pipelined: deque[CallerRequest | _Rejection] = deque()
        self._closing = False
        self._draining = False
        self._unreadable = False
        self._received_any = False
        self.response = CallerResponse(self._write, self._closes)
        self.flow = FlowControl()
        self.changed_seconds = float(0)
        self.reading = False

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._task is not None

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or partly read.

        A connection that has not sent any request yet is about to send one, so
        it is not idle.
        """
        return self._received_any and not self.busy and not self.reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self.changed_seconds = self._owner.now()
        self._owner.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse; pipelined requests wait for the responses to earlier ones."""
        if self._unreadable:
            return
        self._bodiless_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is rejected; the parser reads nothing after its head.
            self._unreadable = True
        except httptools.HttpParserCallbackError as error:
            self._unreadable = True
            self._owner.failed(error.__context__)
            self._queue(_Rejection(RequestError(ErrorKind.NOT_RUN_LOST)))
        except httptools.HttpParserError:
            # It is unknown where this request ends, so nothing after it may be
            # parsed: that could be a request smuggled in the body of another
            # one.
            self._unreadable = True
            self._queue(_Rejection(RequestError(ErrorKind.BAD_REQUEST)))
        else:
            self._check_head_size()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnected caller."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: its caller has disconnected."""
        self._owner.closed(self)
        self._release_unserved()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Stop reading from the server while the caller reads slowly."""
        self.flow.pause()

    def resume_writing(self) -> None:
        """Continue to read from the server."""
        self.flow.resume()

    @property
    def unread_input(self) -> bool:
        """Whether the socket holds data that the loop has not read yet."""
        return has_unread_data(self._transport)

    @property
    def has_unsent(self) -> bool:
        """Whether a part of its responses waits until the caller reads."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed, even if that is still unread.

        A late event loop reads a request and the end of its connection in one
        iteration and serves the request first, so a server would run it for a
        disconnected caller. An end of connection that was read cancels the
        request only in the next iteration, which may be seconds later.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        return self.unread_input and self._peek_end()

    def _peek_end(self) -> bool:
        """Peek, without reading, whether the caller has ended its stream."""
        # Not of a duplicate, for which no descriptor may be free.
        borrowed = socket.socket(fileno=file_descriptor(self._transport))
        try:
            return not borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            borrowed.detach()

    def close_idle(self) -> bool:
        """Close the connection unless data waits unread.

        When the event loop is late, a request may have waited unread for longer
        than the idle time-out. Its caller would see a connection reset and
        could not tell whether the request has run.

        :return: whether it was closed.
        """
        if self.unread_input:
            return False
        self.close()
        return True

    def close(self) -> None:
        """Close after all pending data is written."""
        if self._transport is not None:
            self._transport.close()

    def close_after_response(self) -> None:
        """Announce with the last response that the connection closes.

        It is the one to the last request that was read by then.
        """
        self._draining = True

    def on_message_begin(self) -> None:
        """Start a request."""
        self.reading = True
        self._received_any = True
        self.changed_seconds = self._owner.now()
        self._headers = []
        self._head_bytes = 0
        self._target = b''
        self._head = None
        self._rejection = None
        self._awaits_continue = False

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._head_bytes += len(name) + len(content)
        if self._head_bytes > self._owner.limits.header_bytes:
            self._reject(ErrorKind.HEADERS_TOO_LARGE)
            return
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Parse the head; the body is read even if the head is rejected."""
        self._bodiless_bytes = 0
        if self._parser.should_upgrade():
            # The parser would skip the body.
            self._rejection = self._rejection or RequestError(
                ErrorKind.BAD_REQUEST, 'protocol upgrades are not supported'
            )
            return
        try:
            self._head = self._adapter.parse_request(
                self._parser.get_method(),
                self._target,
                self._headers,
                self._owner.now(),
            )
        except RequestError as error:
            self._rejection = self._rejection or error
            return
        self._body = RequestBody(
            self._owner.hold_body(self._head), self._owner.limits.body_bytes
        )
        if not self._body.announce(_announced_bytes(self._headers)):
            self._refuse_body()
            return
        self._awaits_continue = _EXPECTS_CONTINUE in self._headers
        self._write_continue()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._bodiless_bytes = 0
        self._awaits_continue = False
        if self._body is None or self._rejection is not None:
            return
        if not self._body.append(body):
            self._refuse_body()
        elif self._body.is_too_large:
            self._reject(ErrorKind.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.reading = False
        self._awaits_continue = False
        if self._rejected_early:
            # All of the request is read, so the close resets nothing.
            self.close()
            return
        call, body = self._head, self._body
        # Otherwise a thousand idle connections would keep the last prompt of
        # each.
        self._head = None
        self._headers = []
        self._body = None
        if call is None or body is None or self._rejection is not None:
            error = self._rejection or RequestError(ErrorKind.BAD_REQUEST)
            bodiless = self._parser.get_method() == _HEAD
            self._queue(_Rejection(error, bodiless, call))
            return
        call.body = body.take()
        call.body_hold = body.hold
        call.closes_connection = not self._parser.should_keep_alive()
        self._queue(call)

    def _check_head_size(self) -> None:
        """Reject a head, or trailers, without end.

        The parser keeps an incomplete field, however long it is.
        """
        limit_bytes = self._owner.limits.header_bytes + MAX_TARGET_BYTES
        if self.reading and self._bodiless_bytes > limit_bytes:
            self._unreadable = True
            self._queue(_Rejection(RequestError(ErrorKind.HEADERS_TOO_LARGE)))

    def truncate(self) -> None:
        """Close the connection so that the response can't look complete."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def _closes(self) -> bool:
        """Whether the connection closes after a response that starts now."""
        if self._call is not None and self._call.closes_connection:
            return True
        # Requests that were read before an entry stops get their responses.
        return self._closing or (self._draining and not self._pipelined)

    def _queue(self, request: CallerRequest | _Rejection) -> None:
        if self._rejected_early:
            # Its response is written; the rest of the request is invalid.
            self.close()
            return
        if len(self._pipelined) >= _MAX_PIPELINED:
            _release(request)
            # The response in progress is not to be broken off; the next one
            # announces the close, and what follows it is not served.
            self._closing = True
            self._unreadable = True
            return
        self._pipelined.append(request)
        if self._task is None:
            self._serve_next()

    def _serve_next(self) -> None:
        """Serve the next queued request."""
        while self._pipelined and self._task is None:
            request = self._pipelined.popleft()
            if isinstance(request, _Rejection):
                self._write_rejection(request)
                return
            self._call = request
            self._begin_response(bodiless=request.method == _HEAD)
            self._task = asyncio.get_running_loop().create_task(
                self._owner.serve(request, self),
            )
            self._task.add_done_callback(self._request_done)

    def _reject(self, kind: ErrorKind) -> None:
        self._rejection = self._rejection or RequestError(kind)

    def _refuse_body(self) -> None:
        """Refuse a request that the entry has no memory for.

        Its caller need not send the rest first. That is read nevertheless: a
        connection that closes with unread data is reset, which may discard the
        response.
        """
        error = RequestError(ErrorKind.INSTANCE_BUSY, _NO_MEMORY)
        self._rejection = error
        if self.busy or self._pipelined:
            # The responses to earlier requests come first.
            return
        self._rejected_early = True
        bodiless = self._parser.get_method() == _HEAD
        self._write_final(_Rejection(error, bodiless, self._head))

    def _release_unserved(self) -> None:
        """Release the memory of requests that nobody waits for any more."""
        if self._body is not None:
            self._body.drop()
        for request in self._pipelined:
            _release(request)
        self._pipelined.clear()

    def _begin_response(self, *, bodiless: bool) -> None:
        self.response = CallerResponse(
            self._write, self._closes, bodiless=bodiless
        )

    def _write_rejection(self, rejection: _Rejection) -> None:
        # The rejected request may not have been read to its end; the rest of
        # it would be parsed as the next request.
        self._write_final(rejection)
        self.close()

    def _write_final(self, rejection: _Rejection) -> None:
        """Write a response that announces the close."""
        self._closing = True
        self._begin_response(bodiless=rejection.bodiless)
        if rejection.call is not None:
            self._owner.refuse(rejection.call, self, rejection.error)
            return
        status, headers, body = error_response(rejection.error)
        self.response.send(status, headers, body)

    def _request_done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        _release(self._call)
        self.changed_seconds = self._owner.now()
        if task.cancelled():
            self.truncate()
            return
        error = task.exception()
        if error:
            self._owner.failed(error)
        self._end_response()

    def _end_response(self) -> None:
        if self.response.close_announced and self.response.complete:
            self.close()
        elif self.response.complete:
            self._call = None
            self._serve_next()
            self._write_continue()
        else:
            self.truncate()

    def _write_continue(self) -> None:
        """Invite the body of a request, after the responses to earlier ones.

        Within the response to an earlier request it would corrupt that one.
        """
        if self._awaits_continue and not self.busy:
            self._awaits_continue = False
            self._write(_CONTINUE)

    def _write(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)


def _announced_bytes(headers: Headers) -> int:
    """Return the length of the body that follows; 0 if none is announced."""
    for name, content in headers:
        if name == _LENGTH:
            return int(content) if content.isdigit() else 0
    return 0


def _release(request: CallerRequest | _Rejection | None) -> None:
    """Release the memory of a request that has ended."""
    if isinstance(request, CallerRequest) and request.body_hold is not None:
        request.body_hold.release()
