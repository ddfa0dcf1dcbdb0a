"""A side's answer to an order, as the entry reads it."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec

from sardinetrack.http.client import BrokenError, StreamedReply
from sardinetrack.messages.run import RESULT_HEADER, RunResult
from sardinetrack.messages.run_codec import (
    SERVER_HEADERS_HEADER,
    read_result,
    read_server_headers,
)


class RunReply:
    """The backend server's answer while it arrives through a side.

    Status and headers are the backend server's, and mean something only when
    the result's fate is ``RUNNING``.
    """

    def __init__(self, reply: StreamedReply) -> None:
        """Read the side's word from the headers.

        :raises BrokenError: there is none, so that the fate is not known.
        """
        self._reply = reply
        try:
            self.run_result: RunResult = read_result(
                reply.header(RESULT_HEADER) or '',
            )
            self.headers = read_server_headers(
                reply.header(SERVER_HEADERS_HEADER) or '[]',
            )
        except msgspec.DecodeError as error:
            raise BrokenError(f'no word of the side: {error}') from error
        self.status = self.run_result.status

    def header(self, name: str) -> str | None:
        """Find a header of the backend server by its lower-case name."""
        return next((text for key, text in self.headers if key == name), None)

    def chunks(self) -> AsyncIterator[bytes]:
        """Read the body piece by piece.

        :raises BrokenError: it ended before the protocol's own end.
        """
        return self._reply.chunks()
