"""Header texts of the run exchange.

Header fields travel as Latin-1 while JSON is UTF-8; the texts here are JSON
bytes seen as Latin-1, so that no character is lost on the way.
"""

from __future__ import annotations

from typing import Final

import msgspec

from sardinetrack.messages.run import RunOrder, RunResult

ServerHeaders = tuple[tuple[str, str], ...]

SERVER_HEADERS_HEADER: Final = 'sardinetrack-headers'
"""The backend server's own headers, as JSON pairs in lower case.

Inside one header they can't be taken for those of the hop between side and
entry: an answer to HEAD names the length of a body that does not follow.
"""
_LATIN: Final = 'latin-1'


def order_text(order: RunOrder) -> str:
    """Write an order for ``RUN_HEADER``."""
    return msgspec.json.encode(order).decode(_LATIN)


def read_order(text: str) -> RunOrder:
    """Read the text of ``RUN_HEADER``.

    :raises msgspec.DecodeError: it is no valid order.
    """
    return msgspec.json.decode(text.encode(_LATIN), type=RunOrder)


def result_text(run_result: RunResult) -> str:
    """Write a result for ``RESULT_HEADER``."""
    return msgspec.json.encode(run_result).decode(_LATIN)


def read_result(text: str) -> RunResult:
    """Read the text of ``RESULT_HEADER``.

    :raises msgspec.DecodeError: it is no valid result.
    """
    return msgspec.json.decode(text.encode(_LATIN), type=RunResult)


def server_headers_text(headers: ServerHeaders) -> str:
    """Write the headers of a backend server."""
    return msgspec.json.encode(headers).decode(_LATIN)


def read_server_headers(text: str) -> ServerHeaders:
    """Read the headers of a backend server.

    :raises msgspec.DecodeError: they are no pairs of text.
    """
    return msgspec.json.decode(text.encode(_LATIN), type=ServerHeaders)
