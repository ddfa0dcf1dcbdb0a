"""Error responses in the format of the OpenAI API."""

from __future__ import annotations

import math
from typing import Final

import msgspec

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.errors.table import ErrorResponse, error_response_for

REQUEST_ID_HEADER: Final = 'x-request-id'
NOT_RUN_HEADER: Final = 'sardinetrack-not-run'
RETRY_AFTER_HEADER: Final = 'retry-after'
_MIN_RETRY_SECONDS: Final = 1


class ErrorBody(msgspec.Struct, frozen=True):
    """The ``error`` object of a response."""

    message: str
    type: str
    code: str
    param: str | None = None


class ErrorDocument(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: ErrorBody


def error_document(failure: RequestError) -> ErrorDocument:
    """Build the body of an error response.

    :param failure: the error to report.
    :return: the body, to be encoded as JSON.
    """
    response = error_response_for(failure.kind)
    message = response.message
    if failure.detail:
        message = f'{message} ({failure.detail})'
    return ErrorDocument(
        ErrorBody(message, response.error_type, failure.kind.value),
    )


def error_headers(failure: RequestError) -> list[tuple[str, str]]:
    """Build the headers of an error response.

    :param failure: the error to report.
    :return: pairs of header name and value, without ``x-request-id``.
    """
    response = error_response_for(failure.kind)
    pairs = [(NOT_RUN_HEADER, 'true' if response.not_run else 'false')]
    seconds = _retry_after_seconds(failure, response)
    if seconds is not None:
        pairs.append((RETRY_AFTER_HEADER, str(seconds)))
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        pairs.append(('www-authenticate', 'Bearer'))
    return pairs


def truncation_event() -> bytes:
    """Build the last server-sent event of a truncated stream.

    :return: one complete event, encoded.
    """
    document = error_document(RequestError(ErrorKind.ANSWER_CUT))
    return b'data: %b\n\n' % msgspec.json.encode(document)


def _retry_after_seconds(
    failure: RequestError, response: ErrorResponse
) -> int | None:
    seconds = failure.retry_after_seconds
    if seconds is None:
        seconds = response.retry_after_seconds
    if seconds is None:
        return None
    if seconds <= 0:
        return 0
    return max(_MIN_RETRY_SECONDS, math.ceil(seconds))
