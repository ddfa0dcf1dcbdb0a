"""Error responses of the entry itself, from the table of errors."""

from __future__ import annotations

from functools import cache
from http import HTTPStatus
from typing import Final

import msgspec

from sardinetrack.errors.api import RequestError
from sardinetrack.errors.table import error_response_for

_NOT_RUN_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


@cache
def status_line(status: int) -> bytes:
    """Return the first line of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'HTTP/1.1 {status} {phrase}\r\n'.encode()


def promises_not_run(error: RequestError) -> bool:
    """Whether a failure promises that the request has not run, and won't."""
    return error_response_for(error.kind).status in _NOT_RUN_STATUSES


def error_response(error: RequestError) -> tuple[int, bytes, bytes]:
    """Serialise the response to a failure.

    :return: status, header lines and body.
    """
    response = error_response_for(error.kind)
    retry_after = error.retry_after_seconds
    if retry_after is None:
        retry_after = response.retry_after_seconds
    headers = b'content-type: application/json\r\n'
    if retry_after is not None:
        headers += b'retry-after: %.3f\r\n' % retry_after
    body = {
        'error': {
            'message': error.detail or response.message,
            'type': response.error_type,
            'code': error.kind.value,
            'not_run': response.not_run,
        },
    }
    return response.status.value, headers, msgspec.json.encode(body)
