"""A caller's connection: requests in, answers out, one at a time."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Final, cast

import httptools

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.http.sockets import descriptor, has_unread
from sardinetrack.relay.api import Call, Dialect
from sardinetrack.relay.door import Door
from sardinetrack.relay.own_answer import own_answer, status_line

_CHUNK_END: Final = b'0\r\n\r\n'
_LINE: Final = b'\r\n'
_CHUNKED: Final = b'transfer-encoding: chunked\r\n\r\n'
_CLOSE: Final = b'connection: close\r\n'
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_MOST_AHEAD: Final = 16
"""Requests that a caller may send ahead of the answers on one connection."""


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes answers; tells when the caller leaves."""

    def __init__(self, dialect: Dialect, door: Door) -> None:
        """Wait for the transport."""
        self._dialect = dialect
        self._door = door
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._target = b''
        self._head: Call | None = None
        self._call: Call | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._refusal: AnsweredError | None = None
        self._task: asyncio.Task[None] | None = None
        self._ahead: deque[Call | AnsweredError] = deque()
        self._ends = False
        self._told_end = False
        self._unreadable = False
        self._seen = False
        self.flow: Callable[[bool], None] | None = None
        self.changed_seconds = float(0)
        self.reading = False

    @property
    def busy(self) -> bool:
        """Whether a request is under way."""
        return self._task is not None

    @property
    def idle(self) -> bool:
        """Whether no request is under way or half read.

        One that has not sent a request yet is about to; it is not idle.
        """
        return self._seen and not self.busy and not self.reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self.changed_seconds = self._door.now()
        self._door.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse; requests sent ahead wait for the answers before them."""
        if self._unreadable:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Where one request ends is unknown, so nothing behind it may be
            # read: it could be one that was hidden in the body of another.
            self._unreadable = True
            self._queue(AnsweredError(ErrorKind.BAD_REQUEST))

    def eof_received(self) -> bool:
        """Take a half-closed connection for a caller that has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work: nobody waits for it any more."""
        self._door.closed(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Pass the caller's slowness on to the server."""
        if self.flow is not None:
            self.flow(False)

    def resume_writing(self) -> None:
        """Let the server go on."""
        if self.flow is not None:
            self.flow(True)

    @property
    def unread(self) -> bool:
        """Whether something has come that the loop has not read yet."""
        return has_unread(self._transport)

    @property
    def hung_up(self) -> bool:
        """Whether the caller has closed, also if the loop has not read that.

        A late loop reads requests and the ends of their connections in one
        turn, and serves the request first: a server would work for nobody.
        An end that was read cancels the request in the next turn only, which
        may be seconds later, too.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        return self.unread and self._at_its_end()

    def _at_its_end(self) -> bool:
        """Whether nothing comes any more, from a look that takes nothing."""
        fileno = descriptor(self._transport)
        with socket.socket(fileno=os.dup(fileno)) as look:
            try:
                return not look.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                return True

    def close_idle(self) -> bool:
        """Close a connection on which nothing is under way.

        In a late loop a request may have waited unread for longer than the
        bound of the idle time. Its caller would see the connection reset, and
        could not tell whether it has run.

        :return: whether it was closed.
        """
        if self.unread:
            return False
        self.close()
        return True

    def close(self) -> None:
        """Close after what is written."""
        if self._transport is not None:
            self._transport.close()

    def end_after_answer(self) -> None:
        """Say with the next answer that the connection ends."""
        self._ends = True

    def on_message_begin(self) -> None:
        """Start a request."""
        self.reading = True
        self._seen = True
        self.changed_seconds = self._door.now()
        self._headers = []
        self._body = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._target = b''
        self._head = None
        self._refusal = None

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._head_bytes += len(name) + len(content)
        if self._head_bytes > self._door.limits.header_bytes:
            self._refuse(ErrorKind.HEADERS_TOO_LARGE)
            return
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Read the head; go on reading the body even if it is refused."""
        try:
            self._head = self._dialect.call(
                self._parser.get_method(),
                self._target,
                self._headers,
                self._door.now(),
            )
        except AnsweredError as error:
            self._refusal = self._refusal or error
            return
        if (b'expect', b'100-continue') in self._headers:
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._door.limits.body_bytes:
            self._refuse(ErrorKind.BODY_TOO_LARGE)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on."""
        self.reading = False
        call = self._head
        # A thousand idle connections would else hold the last prompt of each.
        self._head = None
        self._headers = []
        if call is None or self._refusal is not None:
            self._queue(self._refusal or AnsweredError(ErrorKind.BAD_REQUEST))
            return
        call.body = b''.join(self._body)
        call.closes = not self._parser.should_keep_alive()
        self._body = []
        self._queue(call)

    def start(self, status: int, headers: bytes) -> None:
        """Begin an answer whose length nobody knows."""
        closing = self._closing_line()
        self._write(status_line(status) + headers + closing + _CHUNKED)

    def piece(self, piece: bytes) -> None:
        """Write a part of the answer."""
        self._write(b'%x\r\n' % len(piece) + piece + _LINE)

    def finish(self) -> None:
        """End the answer as complete."""
        self._write(_CHUNK_END)

    def cut(self) -> None:
        """End the connection so that the answer can't look complete."""
        self._ends = True
        if self._transport is not None:
            self._transport.close()

    def whole(self, status: int, headers: bytes, body: bytes) -> None:
        """Write a complete answer."""
        closing = self._closing_line()
        length = b'content-length: %d\r\n\r\n' % len(body)
        self._write(status_line(status) + headers + closing + length + body)

    def _closing_line(self) -> bytes:
        """Write the header that ends the connection, if it is to end."""
        closes = self._call is not None and self._call.closes
        self._told_end = closes or self._ends
        return _CLOSE if self._told_end else b''

    def _queue(self, request: Call | AnsweredError) -> None:
        self._ahead.append(request)
        if self._task is None:
            self._next()
        elif len(self._ahead) > _MOST_AHEAD:
            self.cut()

    def _next(self) -> None:
        """Serve the next request that has arrived."""
        while self._ahead and self._task is None:
            request = self._ahead.popleft()
            if isinstance(request, AnsweredError):
                self._write_refusal(request)
                return
            self._call = request
            self._task = asyncio.get_running_loop().create_task(
                self._door.serve(request, self),
            )
            self._task.add_done_callback(self._done)

    def _refuse(self, kind: ErrorKind) -> None:
        self._refusal = self._refusal or AnsweredError(kind)

    def _write_refusal(self, refusal: AnsweredError) -> None:
        # What was refused may not have been read to its end; the rest of it
        # would be taken for the next request.
        self._ends = True
        status, headers, body = own_answer(refusal)
        self.whole(status, headers, body)
        self.close()

    def _done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        self.flow = None
        self.changed_seconds = self._door.now()
        if task.cancelled():
            self.cut()
            return
        fault = task.exception()
        if fault:
            self._door.failed(fault)
            self.cut()
        elif self._told_end:
            self.close()
        else:
            self._call = None
            self._next()

    def _write(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
