"""A caller that sees each byte: sockets and a minimal HTTP reader."""

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
class Answer:
    """What a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    """The framing's own end was seen."""
    pairs: list[tuple[str, str]] = field(default_factory=list)

    @property
    def error(self) -> dict[str, Any]:
        """The error object."""
        return json.loads(self.body)['error']


class Connection:
    """One connection to the callers' listener."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(
            ('127.0.0.1', port),
            timeout=WAIT_SECONDS,
        )
        self._reader = KeptReader(self.socket)

    def send(self, raw: bytes) -> None:
        """Send bytes as they are."""
        self.socket.sendall(raw)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
        token: str | None = TOKEN_TEXT,
    ) -> None:
        """Send a whole request."""
        lines = [f'{method} {path} HTTP/1.1', 'host: entry']
        if token is not None:
            lines.append(f'authorization: Bearer {token}')
        if body:
            lines.append(f'content-length: {len(body)}')
        lines.extend(f'{name}: {text}' for name, text in headers)
        self.send('\r\n'.join([*lines, '', '']).encode('latin-1') + body)

    def answer(self, method: str = 'GET') -> Answer:
        """Read one answer."""
        response = HTTPResponse(self._reader, method=method)
        response.begin()
        body, whole = _read(response)
        pairs = [(name.lower(), text) for name, text in response.getheaders()]
        return Answer(response.status, dict(pairs), body, whole, pairs)

    def answers(self) -> list[Answer]:
        """Read answers until the other end closes."""
        found = []
        while True:
            try:
                found.append(self.answer())
            except (HTTPException, OSError):
                return found

    def drain(self) -> bytes:
        """Wait for the other end to close; return what still came."""
        rest = b''
        try:
            while piece := self._reader.read1(65_536):
                rest += piece
        except ConnectionResetError:
            return rest
        return rest

    def send_quietly(self, raw: bytes) -> None:
        """Send bytes to an end that may have closed."""
        try:
            self.send(raw)
        except OSError:
            return

    def send_until_broken(self, raw: bytes) -> None:
        """Send on until the other end has closed."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            try:
                self.send(raw)
            except OSError:
                return
            time.sleep(PAUSE_SECONDS)
        raise AssertionError('the connection stays open')

    def end(self) -> None:
        """Send no more."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Vanish."""
        self._reader.end()
        self.socket.close()


class KeptReader:
    """One buffer for all answers on a socket.

    The library makes a buffer for each answer; when two answers came in one
    piece, the first one's buffer swallowed the second.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Read from a socket."""
        self._file = sock.makefile('rb')

    def makefile(self, _mode: str) -> KeptReader:
        """Hand out the one buffer."""
        return self

    def close(self) -> None:
        """Stay open for the next answer."""

    def end(self) -> None:
        """Let go of the socket."""
        self._file.close()

    def __getattr__(self, name: str) -> Any:
        """Read as a file does."""
        return getattr(self._file, name)


def _read(response: HTTPResponse) -> tuple[bytes, bool]:
    """Read a body; it is whole only with its framing's own end."""
    try:
        return response.read(), True
    except IncompleteRead as error:
        return error.partial, False
    except OSError:
        return b'', False
