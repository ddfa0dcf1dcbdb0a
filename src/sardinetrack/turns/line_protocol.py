"""Line-based messages over TCP, on the event loop's transports."""

from __future__ import annotations

import asyncio
import socket
from abc import abstractmethod
from typing import Final, cast

import msgspec

from sardinetrack.messages.json_input import UnreadableError
from sardinetrack.turns.messages import ENCODE, MAX_LINE_BYTES

USER_TIMEOUT_MILLISECONDS: Final = 1500
"""``TCP_USER_TIMEOUT``: closes a connection whose sent bytes stay
unacknowledged for so long. Some three report intervals of an idle side."""


class LineProtocol(asyncio.Protocol):
    """Splits data into lines; aborts the connection on an invalid line."""

    max_line_bytes = MAX_LINE_BYTES

    def __init__(self) -> None:
        """Start without a transport."""
        self.transport: asyncio.Transport | None = None
        self._pieces: list[bytes] = []
        self._rest_bytes = 0

    @abstractmethod
    def handle_line(self, line: bytes) -> None:
        """Handle one line.

        :raises UnreadableError: it is not a known message.
        """

    @abstractmethod
    def handle_connected(self) -> None:
        """Handle a new connection; lines may be sent from now on."""

    @abstractmethod
    def handle_disconnected(self) -> None:
        """Handle the end of the connection."""

    def send(self, message: msgspec.Struct) -> None:
        """Send one message."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b'%b\n' % ENCODE(message))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's timeout and report the connection."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                USER_TIMEOUT_MILLISECONDS,
            )
        self.handle_connected()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.handle_disconnected()

    def data_received(self, data: bytes) -> None:
        """Split the data into lines and handle each."""
        lines = data.split(b'\n')
        rest = lines.pop()
        if lines and self._pieces:
            # A long line is joined once, not with each piece of it.
            lines[0] = b''.join((*self._pieces, lines[0]))
            self._pieces = []
            self._rest_bytes = 0
        self._handle_lines(lines)
        if rest:
            self._pieces.append(rest)
            self._rest_bytes += len(rest)
        if self._rest_bytes > self.max_line_bytes:
            self.abort()

    def _handle_lines(self, lines: list[bytes]) -> None:
        try:
            for line in lines:
                self.handle_line(line)
        except UnreadableError:
            self.abort()

    def abort(self) -> None:
        """Close the connection immediately, without flushing."""
        if self.transport is not None:
            self.transport.abort()
