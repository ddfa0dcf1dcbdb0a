"""A connection to a backend server; one request at a time.

It stands on the event loop's transports and a parser in C: the way through
httpcore costs about 3 ms of processor time a request and 0.3 ms an event.
"""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from enum import StrEnum
from typing import Final, cast

import httptools

CONNECT_SECONDS: Final = 0.3
"""A server in the same region answers in 3 ms; a lost packet costs 0.2 s."""
SILENT_SECONDS: Final = 3.0
"""Bytes that nobody acknowledges end the connection after so long."""
PROBE_SECONDS: Final = 1
"""Between probes of a connection on which nothing comes; the least there is."""
PROBES: Final = 2
"""Unanswered probes that end it; one may be lost."""
_MILLISECONDS: Final = 1000
_NO_BODY: Final = frozenset((204, 304))


class BreakReason(StrEnum):
    """Why an answer did not come whole."""

    CLOSED = 'closed'
    RESET = 'reset'
    UNREADABLE = 'unreadable'


class ReplySink(ABC):
    """Takes the answer to one request, on the loop's thread."""

    @abstractmethod
    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Take the head."""

    @abstractmethod
    def piece(self, piece: bytes) -> None:
        """Take bytes of the body."""

    @abstractmethod
    def whole(self) -> None:
        """Note that the answer is complete."""

    @abstractmethod
    def broken(self, reason: BreakReason) -> None:
        """Note that the answer will not be complete."""


class ServerConnection(asyncio.Protocol):
    """Parses answers; closes itself on any byte that nobody asked for."""

    def __init__(self) -> None:
        """Start without a transport."""
        self.transport: asyncio.Transport | None = None
        self.idle_since_seconds = float(0)
        self.idle_limit_seconds: float | None = None
        self._sink: ReplySink | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._framed = False
        self._complete = False
        self._keeps = False
        self._reset = False
        self._status_seen = False
        self._bodiless = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._sink is None
        )

    def send(
        self,
        request: bytes,
        sink: ReplySink,
        *,
        bodiless: bool = False,
    ) -> None:
        """Send a request whose answer goes to the sink.

        :param bodiless: its answer has no body, whatever length it tells.
        """
        self._sink = sink
        self._bodiless = bodiless
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._framed = False
        self._complete = False
        self._status_seen = False
        assert self.transport is not None  # noqa: S101
        self.transport.write(request)

    def flow(self, goes: bool) -> None:
        """Stop or go on reading, as fast as the caller reads."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if goes:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def abort(self) -> None:
        """End it at once; the server drops what it runs."""
        self._sink = None
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _end_when_silent(sock)

    def data_received(self, data: bytes) -> None:
        """Parse."""
        parser = self._parser
        if parser is None or self._sink is None:
            # A second answer, or bytes after the end of one, belong to no
            # request; whatever came next on this connection could be taken
            # for the answer to another caller's request.
            self.abort()
            return
        try:
            parser.feed_data(data)
        except httptools.HttpParserError:
            self._break(BreakReason.UNREADABLE)
            return
        if self._complete:
            self._finish()

    def eof_received(self) -> bool:
        """Close; an answer without a length ends here."""
        unframed = self._status_seen and not self._framed
        if self._sink is not None and unframed and not self._complete:
            self._complete = True
            self._take_sink().whole()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the sink."""
        self._break(BreakReason.CLOSED if exc is None else BreakReason.RESET)

    def on_status(self, _status: bytes) -> None:
        """Begin an answer; a second one spoils the connection."""
        if self._complete:
            self._reset = True

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Hand on the head."""
        sink, parser = self._sink, self._parser
        if sink is None or parser is None or self._complete:
            self._reset = True
            return
        status = parser.get_status_code()
        self._status_seen = True
        self._framed = status in _NO_BODY or any(
            name in {b'content-length', b'transfer-encoding'}
            for name, _ in self._headers
        )
        sink.head(status, self._headers)
        if self._bodiless:
            # The parser would wait for the body that the length speaks of.
            self._complete = True
            self._keeps = parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Hand on a piece."""
        if self._sink is not None and not self._complete:
            self._sink.piece(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._framed:
            self._complete = True
            parser = self._parser
            self._keeps = parser is not None and parser.should_keep_alive()

    def _finish(self) -> None:
        self._parser = None
        if not self._keeps or self._reset:
            self._close()
        if self._sink is not None:
            self._take_sink().whole()

    def _break(self, reason: BreakReason) -> None:
        if self.transport is not None:
            self.transport.abort()
        if self._sink is not None:
            self._take_sink().broken(reason)

    def _take_sink(self) -> ReplySink:
        sink = self._sink
        assert sink is not None  # noqa: S101
        self._sink = None
        return sink

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()


def _end_when_silent(sock: socket.socket) -> None:
    """Let the kernel end a connection whose other end says nothing.

    Connections may go silent for good without a reset; one that waits for an
    answer sends nothing, so only keep-alive probes show it.
    """
    limit = int(SILENT_SECONDS * _MILLISECONDS)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, limit)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
