"""Codec of the header values of run requests and their results.

HTTP header values are Latin-1 while JSON is UTF-8. The values here are JSON
bytes decoded as Latin-1, so that no character is lost.
"""

from __future__ import annotations

from typing import Final

import msgspec

from sardinetrack.messages.json_input import JsonDecoder
from sardinetrack.messages.run import RunRequest, RunResult

ServerHeaders = tuple[tuple[str, str], ...]

SERVER_HEADERS_HEADER: Final = 'sardinetrack-headers'
"""The backend server's own headers, as JSON pairs in lower case.

Inside one header they can't be confused with the headers of the hop between
side and entry: a response to HEAD has the length of a body that is not sent.
"""
_HEADER_ENCODING: Final = 'latin-1'
_RUN_REQUESTS: Final = JsonDecoder[RunRequest](RunRequest)
_RUN_RESULTS: Final = JsonDecoder[RunResult](RunResult)
_SERVER_HEADERS: Final = JsonDecoder[ServerHeaders](ServerHeaders)


def encode_run_request(run_request: RunRequest) -> str:
    """Encode a run request for ``RUN_HEADER``."""
    return msgspec.json.encode(run_request).decode(_HEADER_ENCODING)


def decode_run_request(text: str) -> RunRequest:
    """Decode the value of ``RUN_HEADER``.

    :raises UnreadableError: it is not a valid run request.
    """
    return _RUN_REQUESTS.decode(text.encode(_HEADER_ENCODING))


def encode_run_result(run_result: RunResult) -> str:
    """Encode a result for ``RESULT_HEADER``."""
    return msgspec.json.encode(run_result).decode(_HEADER_ENCODING)


def decode_run_result(text: str) -> RunResult:
    """Decode the value of ``RESULT_HEADER``.

    :raises UnreadableError: it is not a valid result.
    """
    return _RUN_RESULTS.decode(text.encode(_HEADER_ENCODING))


def encode_server_headers(headers: ServerHeaders) -> str:
    """Encode the headers of a backend server."""
    return msgspec.json.encode(headers).decode(_HEADER_ENCODING)


def decode_server_headers(text: str) -> ServerHeaders:
    """Decode the headers of a backend server.

    :raises UnreadableError: they are not pairs of strings.
    """
    return _SERVER_HEADERS.decode(text.encode(_HEADER_ENCODING))
