"""Error answers in the shape that OpenAI clients read."""

from __future__ import annotations

import math
from typing import Final

import msgspec

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.errors.table import Answer, answer_for

REQUEST_ID_HEADER: Final = 'x-request-id'
NOT_RUN_HEADER: Final = 'sardinetrack-not-run'
RETRY_AFTER_HEADER: Final = 'retry-after'
_LEAST_RETRY_SECONDS: Final = 1


class ErrorBody(msgspec.Struct, frozen=True):
    """The ``error`` object of an answer."""

    message: str
    type: str
    code: str
    param: str | None = None


class ErrorDocument(msgspec.Struct, frozen=True):
    """The body of an error answer."""

    error: ErrorBody


def error_document(failure: AnsweredError) -> ErrorDocument:
    """Describe a failure.

    :param failure: what went wrong.
    :return: the body of its answer.
    """
    answer = answer_for(failure.kind)
    message = answer.message
    if failure.detail:
        message = f'{message} ({failure.detail})'
    return ErrorDocument(
        ErrorBody(message, answer.error_type, failure.kind.value),
    )


def error_headers(failure: AnsweredError) -> list[tuple[str, str]]:
    """List the headers of a failure's answer.

    :param failure: what went wrong.
    :return: pairs of name and text, without ``x-request-id``.
    """
    answer = answer_for(failure.kind)
    pairs = [(NOT_RUN_HEADER, 'true' if answer.not_run else 'false')]
    seconds = _retry_after_seconds(failure, answer)
    if seconds is not None:
        pairs.append((RETRY_AFTER_HEADER, str(seconds)))
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        pairs.append(('www-authenticate', 'Bearer'))
    return pairs


def cut_event() -> bytes:
    """Write the last server-sent event of a stream that was cut.

    :return: one whole event.
    """
    cut = error_document(AnsweredError(ErrorKind.ANSWER_CUT))
    return b'data: %b\n\n' % msgspec.json.encode(cut)


def _retry_after_seconds(failure: AnsweredError, answer: Answer) -> int | None:
    seconds = failure.retry_after_seconds
    if seconds is None:
        seconds = answer.retry_after_seconds
    if seconds is None:
        return None
    if seconds <= 0:
        return 0
    return max(_LEAST_RETRY_SECONDS, math.ceil(seconds))
