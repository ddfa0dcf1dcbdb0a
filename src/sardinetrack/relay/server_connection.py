"""A connection to a backend server; one request at a time.

It uses the event loop's transports and a parser in C: httpcore would take much
of an entry's processor time.
"""

from __future__ import annotations

import asyncio
import re
import socket
from array import array
from http import HTTPStatus
from typing import Final, cast

import httptools

from sardinetrack.http.sockets import has_failed, unacknowledged_bytes
from sardinetrack.http.statuses import is_status
from sardinetrack.relay.response_sink import (
    BreakReason,
    ResponseEnd,
    ResponseSink,
)

CONNECT_SECONDS: Final = 0.3
"""A server in the same region responds in 3 ms; a lost packet costs 0.2 s."""
UNACKNOWLEDGED_SECONDS: Final = 3.5
"""Sent bytes that stay unacknowledged for this long end the connection.

It ends a silent connection too, as a probe becomes due: the kernel compares the
time since it last received anything, and ignores the number of probes. Longer
than the time to the last probe, so that this one is sent and may be answered.
"""
PROBE_SECONDS: Final = 1
"""Interval of the keep-alive probes on a silent connection; the minimum."""
PROBES: Final = 3
"""Unanswered probes that end the connection; a path may be silent for two."""
MAX_REQUESTS: Final = 128
"""A connection is closed after as many requests with an id.

So the record of their ids stays complete and below 2 KB.
"""
JOINED_BYTES: Final = 65_536
"""Head and body of a request are joined to one write up to this size."""
MAX_FIELD_BYTES: Final = 65_536
"""Limit for the header fields of a response, and for its trailer fields."""
FIELD_OVERHEAD_BYTES: Final = 32
"""Added to the size of each field, as HTTP/2 counts them."""
MAX_BODILESS_BYTES: Final = 131_072
"""Limit for what arrives without a byte of a body: the head of a response and
those before it, a chunk's size and extensions, trailers. The parser keeps an
incomplete field, however long it is."""
MAX_SKIPPED: Final = 3
"""Responses to other requests that are skipped before the one to a request."""
_MILLISECONDS: Final = 1000
_STATUS_LINE: Final = re.compile(rb'HTTP/1\.\d \d{3}(?: |$)')
_STATUS_LINE_BYTES: Final = len(b'HTTP/1.1 200 ')
_NO_BODY: Final = frozenset((204, 304))
_CHUNKED: Final = (b'transfer-encoding', b'chunked')


class ServerConnection(asyncio.Protocol):
    """Parses responses; closes itself on any byte that no request expects."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.idle_since_seconds = float(0)
        self.idle_limit_seconds: float | None = None
        # Hashes need less memory than ids, whose length callers choose; equal
        # ones of different ids cost a new connection.
        self._carried = array('q')
        self._sink: ResponseSink | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._framed = False
        self._complete = False
        self._keep_alive = False
        self._unusable = False
        self._status_seen = False
        self._bodiless = False
        self._skipping = False
        self._skipped = 0
        self._skipped_end = b''
        self._reason_phrase = b''
        self._field_bytes = 0
        self._bodiless_bytes = 0
        self._unsent = memoryview(b'')
        self._write_paused = False
        self._peer_closed = False
        self._lost_by_error = False

    @property
    def unused(self) -> bool:
        """Whether no request with an id was sent on this connection."""
        return not self._carried

    def has_carried(self, request_id: str | None) -> bool:
        """Return whether a request with this id was sent on this connection.

        A late second response to it could not be told from the response to
        another request, or another attempt, with the same id.
        """
        return request_id is not None and hash(request_id) in self._carried

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        transport = self.transport
        if transport is None or transport.is_closing() or self._peer_closed:
            return False
        return self._sink is None and len(self._carried) < MAX_REQUESTS

    @property
    def states_end(self) -> bool:
        """Whether the response has an end of its own, as its head says."""
        return self._framed or self._bodiless

    @property
    def was_reset(self) -> bool:
        """Whether a reset has followed the server's close."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return self._lost_by_error
        return has_failed(transport.get_extra_info('socket'))

    def send(
        self,
        request: bytes,
        sink: ResponseSink,
        *,
        body: bytes | bytearray = b'',
        request_id: str | None = None,
        bodiless: bool = False,
    ) -> None:
        """Send a request whose response goes to the sink.

        :param body: follows the request; what the server has not read yet of a
            large one is not copied.
        :param request_id: the id that the response will bear; ``None`` if the
            server knows no ids.
        :param bodiless: the response has no body, whatever length it states.
        """
        if request_id is not None:
            self._carried.append(hash(request_id))
        self._sink = sink
        self._bodiless = bodiless
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._framed = False
        self._complete = False
        self._status_seen = False
        self._bodiless_bytes = 0
        assert self.transport is not None  # noqa: S101
        if len(body) <= JOINED_BYTES:
            self.transport.write(b''.join((request, body)))
            return
        self.transport.write(request)
        self._unsent = memoryview(body)
        self._write_unsent()

    def flow(self, reading: bool) -> None:
        """Pause or resume reading, as fast as the caller reads.

        :param reading: whether to read.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def pause_writing(self) -> None:
        """Wait until the server reads."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Continue to send the body of a request."""
        self._write_paused = False
        self._write_unsent()

    def abort(self) -> None:
        """Close it immediately; the server then cancels the request."""
        self._sink = None
        self._unsent = memoryview(b'')
        self._abort_transport()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _enable_dead_peer_detection(sock)

    def data_received(self, data: bytes) -> None:
        """Parse."""
        parser = self._parser
        if parser is None or self._sink is None:
            # A second response, or bytes after the end of one, belong to no
            # request. The next response on this connection could be
            # mistaken for the response to another caller's request.
            self.abort()
            return
        self._bodiless_bytes += len(data)
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._complete:
                self._fail(BreakReason.UNREADABLE)
                return
            self._unusable = True
        if self._complete:
            self._finish()
        elif self._bodiless_bytes > MAX_BODILESS_BYTES:
            self._fail(BreakReason.OVERSIZED)

    def eof_received(self) -> bool:
        """Close; a response without a length may end here.

        :return: whether to stay open, so that a reset which follows is noticed.
        """
        unframed = self._status_seen and not self._framed
        if self._sink is None or not unframed or self._complete:
            # Again after a pause of reading, if it stays open.
            return self._peer_closed
        if self._has_unsent_request():
            self._fail(BreakReason.CLOSED)
            return False
        self._complete = True
        self._peer_closed = True
        self._take_sink().completed(ResponseEnd.CLOSED)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the failure to the sink."""
        self._unsent = memoryview(b'')
        self._lost_by_error = exc is not None
        self._fail(BreakReason.CLOSED if exc is None else BreakReason.RESET)

    def on_message_begin(self) -> None:
        """Begin a response; after a complete one the connection is unusable."""
        self._reason_phrase = b''
        self._field_bytes = 0
        if self._complete:
            self._unusable = True

    def on_status(self, piece: bytes) -> None:
        """Check the reason phrase, which may arrive in pieces."""
        self._reason_phrase += piece
        _reject_status_line(self._reason_phrase)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Check and collect a header; a trailer is not needed."""
        _reject_status_line(content)
        self._field_bytes += len(name) + len(content) + FIELD_OVERHEAD_BYTES
        if self._field_bytes > MAX_FIELD_BYTES:
            raise ValueError('too many header fields')
        if not self._status_seen:
            self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink."""
        sink, parser = self._sink, self._parser
        if sink is None or parser is None or self._complete:
            self._unusable = True
            return
        status = parser.get_status_code()
        if not is_status(status):
            raise ValueError(f'{status} is no status')
        if status < HTTPStatus.OK:
            # An interim response; the response itself follows.
            self._headers = []
            return
        self._status_seen = True
        self._field_bytes = 0
        self._framed = status in _NO_BODY or any(
            name in {b'content-length', b'transfer-encoding'}
            for name, _ in self._headers
        )
        self._skipping = sink.head_received(
            status, self._headers, skippable=self._skippable(status)
        )
        if self._bodiless:
            # The parser would wait for the body that the length announces.
            self._complete = True
            self._keep_alive = parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body to the sink."""
        self._bodiless_bytes = 0
        if self._skipping:
            # A truncated response, or one to a HEAD request, would end within
            # the next one.
            self._skipped_end += body
            _reject_status_line(self._skipped_end)
            self._skipped_end = self._skipped_end[-_STATUS_LINE_BYTES:]
        elif self._complete:
            # The rest of it would be read as the next response.
            self._unusable = True
        elif self._sink is not None:
            self._sink.body_received(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete, or wait for the one after it."""
        if self._skipping:
            self._end_skipped()
        elif self._framed:
            self._complete = True
            parser = self._parser
            self._keep_alive = parser is not None and parser.should_keep_alive()

    def _skippable(self, status: int) -> bool:
        """Whether the response can be skipped: it is clear where it ends."""
        if self._bodiless or self._skipped >= MAX_SKIPPED:
            return False
        return (
            status in _NO_BODY
            or _CHUNKED in self._headers
            or any(name == b'content-length' for name, _ in self._headers)
        )

    def _end_skipped(self) -> None:
        """Expect the next response; the connection serves no other request."""
        self._skipping = False
        self._skipped += 1
        self._skipped_end = b''
        self._unusable = True
        self._headers = []
        self._framed = False
        self._status_seen = False

    def _has_unsent_request(self) -> bool:
        """Whether a part of the request has not reached the server's system.

        The server has left it unread, and closes without an end of its own.
        """
        transport = self.transport
        if transport is None or self._unsent:
            return True
        sock = transport.get_extra_info('socket')
        waiting_bytes = transport.get_write_buffer_size()
        return bool(waiting_bytes or unacknowledged_bytes(sock))

    def _write_unsent(self) -> None:
        """Write the rest of a body as far as the server reads it."""
        while self._unsent and not self._write_paused:
            piece = self._unsent[:JOINED_BYTES]
            self._unsent = self._unsent[JOINED_BYTES:]
            if self.transport is not None:
                self.transport.write(piece)

    def _finish(self) -> None:
        self._parser = None
        if self._unsent:
            # It has responded without reading the request, and may never do so.
            self._unsent = memoryview(b'')
            self._abort_transport()
        elif not self._keep_alive or self._unusable:
            self._close()
        if self._sink is not None:
            self._take_sink().completed(ResponseEnd.FRAMED)

    def _fail(self, reason: BreakReason) -> None:
        self._abort_transport()
        if self._sink is not None:
            self._take_sink().interrupted(reason)

    def _take_sink(self) -> ResponseSink:
        sink = self._sink
        assert sink is not None  # noqa: S101
        self._sink = None
        return sink

    def _abort_transport(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()


def _reject_status_line(part: bytes) -> None:
    """Raise if a part of a head contains the beginning of another response.

    A truncated response and the one after it would be read as one head, with
    the status of the first and the request id of the second.

    :raises ValueError: the parser reports it as an error of its own.
    """
    if b'HTTP/1.' in part and _STATUS_LINE.search(part):
        raise ValueError('a response begins inside a head')


def _enable_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer has become unreachable.

    Connections may go silent permanently without a reset. One that waits for a
    response sends nothing, so only keep-alive probes detect it.
    """
    limit = int(UNACKNOWLEDGED_SECONDS * _MILLISECONDS)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, limit)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
