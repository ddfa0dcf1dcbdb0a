"""The response to one request, as far as its caller has it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Final

from sardinetrack.relay.error_response import status_line

_CHUNK_END: Final = b'0\r\n\r\n'
_LINE: Final = b'\r\n'
_CHUNKED: Final = b'transfer-encoding: chunked\r\n\r\n'
_CLOSE: Final = b'connection: close\r\n'


class ResponseState(Enum):
    """How much of a response is written."""

    NOT_STARTED = auto()
    STARTED = auto()
    """The head, and perhaps some chunks."""
    COMPLETE = auto()
    TRUNCATED = auto()
    """It was started and will not be completed."""


class CallerResponse:
    """Writes one response at most, and nothing after its end.

    Several attempts, a time-out and a refusal may each want to respond to the
    same request. A second status line within a response, or after it, would be
    read as content, or as the response to the caller's next request.
    """

    def __init__(
        self,
        write: Callable[[bytes], None],
        closes: Callable[[], bool],
        *,
        bodiless: bool = False,
    ) -> None:
        """Create a response of which nothing is written.

        :param write: writes to the caller's connection.
        :param closes: whether the connection closes after a response that
            starts now.
        :param bodiless: it has a head only, as the response to a HEAD request.
        """
        self.state = ResponseState.NOT_STARTED
        self.close_announced = False
        self._write = write
        self._closes = closes
        self._bodiless = bodiless

    @property
    def started(self) -> bool:
        """Whether the caller has any of it."""
        return self.state is not ResponseState.NOT_STARTED

    @property
    def complete(self) -> bool:
        """Whether the caller has all of it."""
        return self.state is ResponseState.COMPLETE

    def start(self, status: int, headers: bytes) -> None:
        """Write the head of a response of unknown length."""
        if self.started:
            return
        self.state = ResponseState.STARTED
        self._write(
            status_line(status) + headers + self._announcement() + _CHUNKED
        )

    def write_chunk(self, chunk: bytes) -> None:
        """Write a chunk of a response that is started."""
        if self.state is ResponseState.STARTED:
            self._write(b'%x\r\n' % len(chunk) + chunk + _LINE)

    def finish(self) -> None:
        """Write the end of a response that is started."""
        if self.state is ResponseState.STARTED:
            self.state = ResponseState.COMPLETE
            self._write(_CHUNK_END)

    def send(self, status: int, headers: bytes, body: bytes) -> None:
        """Write a complete response, or truncate one that is started."""
        if self.started:
            self.truncate()
            return
        self.state = ResponseState.COMPLETE
        length = b'content-length: %d\r\n\r\n' % len(body)
        head = status_line(status) + headers + self._announcement() + length
        self._write(head if self._bodiless else head + body)

    def truncate(self) -> None:
        """Write no more of a response that is started.

        Its connection closes when the request ends, so it can't look complete.
        """
        if self.state is ResponseState.STARTED:
            self.state = ResponseState.TRUNCATED

    def _announcement(self) -> bytes:
        """Return the header that announces the close, if any."""
        self.close_announced = self._closes()
        return _CLOSE if self.close_announced else b''
