"""The table from error kind to the answer that a caller receives."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from sardinetrack.errors.api import ErrorKind


@dataclass(frozen=True, slots=True)
class Answer:
    """How one error kind is told to a caller."""

    status: HTTPStatus
    error_type: str
    message: str
    not_run: bool
    """True only where the request surely had no effect at any server."""
    retry_after_seconds: float | None = None
    """Default for ``Retry-After``; a case may carry its own."""


_REQUEST: Final = 'invalid_request_error'
_AUTH: Final = 'authentication_error'
_LIMIT: Final = 'rate_limit_error'
_BUSY: Final = 'overloaded_error'
_SERVER: Final = 'server_error'
_OTHER_SECONDS: Final = 0.2
"""When to come back to another instance."""


ANSWERS: Final = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: Answer(
            HTTPStatus.BAD_REQUEST,
            _REQUEST,
            'The request is not valid.',
            not_run=True,
        ),
        ErrorKind.BODY_TOO_LARGE: Answer(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            _REQUEST,
            'The body is larger than allowed.',
            not_run=True,
        ),
        ErrorKind.HEADERS_TOO_LARGE: Answer(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            _REQUEST,
            'The headers are larger than allowed.',
            not_run=True,
        ),
        ErrorKind.BODY_TIMEOUT: Answer(
            HTTPStatus.REQUEST_TIMEOUT,
            _REQUEST,
            'The body did not arrive in time.',
            not_run=True,
        ),
        ErrorKind.UNAUTHENTICATED: Answer(
            HTTPStatus.UNAUTHORIZED,
            _AUTH,
            'The bearer token is missing or unknown.',
            not_run=True,
        ),
        ErrorKind.PEER_REFUSED: Answer(
            HTTPStatus.FORBIDDEN,
            _AUTH,
            'This endpoint is for peers only.',
            not_run=True,
        ),
        ErrorKind.UNKNOWN_PATH: Answer(
            HTTPStatus.NOT_FOUND,
            _REQUEST,
            'There is nothing at this path.',
            not_run=True,
        ),
        ErrorKind.METHOD_NOT_ALLOWED: Answer(
            HTTPStatus.METHOD_NOT_ALLOWED,
            _REQUEST,
            'The method is not allowed here.',
            not_run=True,
        ),
        ErrorKind.UNKNOWN_MODEL: Answer(
            HTTPStatus.NOT_FOUND,
            _REQUEST,
            'The model does not exist.',
            not_run=True,
        ),
        ErrorKind.UNKNOWN_SERVICE: Answer(
            HTTPStatus.NOT_FOUND,
            _REQUEST,
            'The service does not exist.',
            not_run=True,
        ),
        ErrorKind.IDEMPOTENCY_MISMATCH: Answer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _REQUEST,
            'The idempotency key was used with another request.',
            not_run=True,
        ),
        ErrorKind.IN_PROGRESS: Answer(
            HTTPStatus.CONFLICT,
            _REQUEST,
            'A request with this idempotency key is in progress.',
            not_run=False,
            retry_after_seconds=2,
        ),
        ErrorKind.ALREADY_FINISHED: Answer(
            HTTPStatus.CONFLICT,
            _REQUEST,
            'The request with this idempotency key has already run.',
            not_run=False,
        ),
        ErrorKind.TOO_MANY_CONNECTIONS: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _BUSY,
            'The instance holds too many connections; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.INSTANCE_BUSY: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _BUSY,
            'This instance has all the work it can hold; not run.',
            not_run=True,
            retry_after_seconds=_OTHER_SECONDS,
        ),
        ErrorKind.RATE_LIMITED: Answer(
            HTTPStatus.TOO_MANY_REQUESTS,
            _LIMIT,
            'The rate limit of the workspace is reached.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.QUEUE_FULL: Answer(
            HTTPStatus.TOO_MANY_REQUESTS,
            _LIMIT,
            'Too much work of the workspace is waiting; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.NOT_RUN_DEADLINE: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _BUSY,
            'No capacity came free before the deadline; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.NOT_RUN_NO_SERVER: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _BUSY,
            'No backend server is available; not run.',
            not_run=True,
            retry_after_seconds=2,
        ),
        ErrorKind.NOT_RUN_DRAINING: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _BUSY,
            'The instance is shutting down; not run.',
            not_run=True,
            retry_after_seconds=0,
        ),
        ErrorKind.NOT_RUN_PLATFORM_DOWN: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _BUSY,
            'The record of this request cannot be written now; not run.',
            not_run=True,
            retry_after_seconds=5,
        ),
        ErrorKind.NOT_RUN_LOST: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _BUSY,
            'The request was lost on its way; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.NOT_RUN_CRASHES: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _SERVER,
            'Servers went down under this request; not run again for now.',
            not_run=True,
            retry_after_seconds=60,
        ),
        ErrorKind.CRASHES_SERVERS: Answer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _REQUEST,
            'This request took down the servers that ran it; refused for now.',
            not_run=True,
        ),
        ErrorKind.TIMED_OUT: Answer(
            HTTPStatus.GATEWAY_TIMEOUT,
            _SERVER,
            'No whole answer came in time; the request may have run.',
            not_run=False,
        ),
        ErrorKind.OUTCOME_UNKNOWN: Answer(
            HTTPStatus.BAD_GATEWAY,
            _SERVER,
            'The request may have run; its outcome is unknown.',
            not_run=False,
        ),
        ErrorKind.ANSWER_CUT: Answer(
            HTTPStatus.BAD_GATEWAY,
            _SERVER,
            'The answer was cut off; it is not complete.',
            not_run=False,
        ),
        ErrorKind.SERVER_FAILED: Answer(
            HTTPStatus.BAD_GATEWAY,
            _SERVER,
            'The backend server failed while running the request.',
            not_run=False,
        ),
        ErrorKind.INTERNAL: Answer(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            _SERVER,
            'The router failed; the outcome is unknown.',
            not_run=False,
        ),
    }
)


def answer_for(kind: ErrorKind) -> Answer:
    """Look up the answer.

    :param kind: an error kind; every kind has a row.
    :return: the answer for it.
    """
    return ANSWERS[kind]
