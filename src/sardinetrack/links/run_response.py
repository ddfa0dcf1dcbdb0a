"""A side's response to a run request, as the entry reads it."""

from __future__ import annotations

from collections.abc import AsyncIterator

from sardinetrack.http.client import ConnectionBrokenError, StreamedResponse
from sardinetrack.messages.json_input import UnreadableError
from sardinetrack.messages.run import RESULT_HEADER, RunResult
from sardinetrack.messages.run_codec import (
    SERVER_HEADERS_HEADER,
    decode_run_result,
    decode_server_headers,
)


class RunResponse:
    """The backend server's response while it arrives through a side.

    The status and headers are the backend server's, and are meaningful only
    if the attempt status in the result is ``RUNNING``.
    """

    def __init__(self, response: StreamedResponse) -> None:
        """Read the side's result from the headers.

        :raises ConnectionBrokenError: there is no valid result, so the status
            of the attempt is unknown.
        """
        self._response = response
        try:
            self.run_result: RunResult = decode_run_result(
                response.header(RESULT_HEADER) or '',
            )
            self.headers = decode_server_headers(
                response.header(SERVER_HEADERS_HEADER) or '[]',
            )
        except UnreadableError as error:
            raise ConnectionBrokenError(
                f'the side sent no valid result: {error}'
            ) from error
        self.status = self.run_result.status

    def header(self, name: str) -> str | None:
        """Find a header of the backend server by its lower-case name."""
        return next((text for key, text in self.headers if key == name), None)

    def chunks(self) -> AsyncIterator[bytes]:
        """Read the body chunk by chunk.

        :raises ConnectionBrokenError: the body was interrupted before its end.
        """
        return self._response.chunks()
