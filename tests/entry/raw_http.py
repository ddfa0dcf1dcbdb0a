"""A caller with access to each byte: sockets and a minimal HTTP parser."""

from __future__ import annotations

import json
import socket
import time
from dataclasses import dataclass, field
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any

TOKEN_TEXT = 'galata-token'
WAIT_SECONDS = 10.0
PAUSE_SECONDS = 0.01


@dataclass
class Response:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    """Whether the end of the HTTP framing was received."""
    pairs: list[tuple[str, str]] = field(default_factory=list)

    @property
    def error(self) -> dict[str, Any]:
        """The body's error object."""
        return json.loads(self.body)['error']


class Connection:
    """One connection to the callers' listener."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(
            ('127.0.0.1', port),
            timeout=WAIT_SECONDS,
        )
        self._reader = SharedBufferReader(self.socket)

    def send(self, raw: bytes) -> None:
        """Send bytes unchanged."""
        self.socket.sendall(raw)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
        token: str | None = TOKEN_TEXT,
    ) -> None:
        """Send a complete request."""
        lines = [f'{method} {path} HTTP/1.1', 'host: entry']
        if token is not None:
            lines.append(f'authorization: Bearer {token}')
        if body:
            lines.append(f'content-length: {len(body)}')
        lines.extend(f'{name}: {text}' for name, text in headers)
        self.send('\r\n'.join([*lines, '', '']).encode('latin-1') + body)

    def read_response(self, method: str = 'GET') -> Response:
        """Read one response."""
        parsed = HTTPResponse(self._reader, method=method)
        parsed.begin()
        body, complete = _read(parsed)
        pairs = [(name.lower(), text) for name, text in parsed.getheaders()]
        return Response(parsed.status, dict(pairs), body, complete, pairs)

    def answers(self) -> list[Response]:
        """Read responses until the entry closes the connection."""
        found = []
        while True:
            try:
                found.append(self.read_response())
            except (HTTPException, OSError):
                return found

    def drain(self) -> bytes:
        """Read until the entry closes the connection; return what was read."""
        rest = b''
        try:
            while piece := self._reader.read1(65_536):
                rest += piece
        except ConnectionResetError:
            return rest
        return rest

    def send_quietly(self, raw: bytes) -> None:
        """Send bytes, ignoring a closed connection."""
        try:
            self.send(raw)
        except OSError:
            return

    def send_until_broken(self, raw: bytes) -> None:
        """Send repeatedly until the entry has closed the connection."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            try:
                self.send(raw)
            except OSError:
                return
            time.sleep(PAUSE_SECONDS)
        raise AssertionError('the connection stays open')

    def end(self) -> None:
        """Close the sending direction."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection."""
        self._reader.end()
        self.socket.close()


class SharedBufferReader:
    """One read buffer for all responses on a socket.

    ``HTTPResponse`` creates a buffer for each response. When two responses
    arrive together, the first one's buffer would consume the second.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Read from a socket."""
        self._file = sock.makefile('rb')

    def makefile(self, _mode: str) -> SharedBufferReader:
        """Return the shared buffer."""
        return self

    def close(self) -> None:
        """Stay open for the next response."""

    def end(self) -> None:
        """Close the buffer."""
        self._file.close()

    def __getattr__(self, name: str) -> Any:
        """Delegate to the buffer."""
        return getattr(self._file, name)


def _read(response: HTTPResponse) -> tuple[bytes, bool]:
    """Read a body; it is complete only with the end of its framing."""
    try:
        return response.read(), True
    except IncompleteRead as error:
        return error.partial, False
    except OSError:
        return b'', False
