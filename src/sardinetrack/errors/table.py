"""The table of error kinds and the responses that callers receive."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from sardinetrack.errors.api import ErrorKind


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to a caller for one error kind."""

    status: HTTPStatus
    error_type: str
    message: str
    not_run: bool
    """True only if the request definitely had no effect at any server."""
    retry_after_seconds: float | None = None
    """Default for ``Retry-After``; an error may carry its own value."""


_INVALID_REQUEST: Final = 'invalid_request_error'
_AUTHENTICATION: Final = 'authentication_error'
_RATE_LIMIT: Final = 'rate_limit_error'
_OVERLOADED: Final = 'overloaded_error'
_SERVER_ERROR: Final = 'server_error'
_OTHER_INSTANCE_SECONDS: Final = 0.2
"""Delay before a retry at another instance."""


ERROR_RESPONSES: Final = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorResponse(
            HTTPStatus.BAD_REQUEST,
            _INVALID_REQUEST,
            'The request is not valid.',
            not_run=True,
        ),
        ErrorKind.BODY_TOO_LARGE: ErrorResponse(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            _INVALID_REQUEST,
            'The body is larger than allowed.',
            not_run=True,
        ),
        ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            _INVALID_REQUEST,
            'The headers are larger than allowed.',
            not_run=True,
        ),
        ErrorKind.BODY_TIMEOUT: ErrorResponse(
            HTTPStatus.REQUEST_TIMEOUT,
            _INVALID_REQUEST,
            'The body did not arrive in time.',
            not_run=True,
        ),
        ErrorKind.UNAUTHENTICATED: ErrorResponse(
            HTTPStatus.UNAUTHORIZED,
            _AUTHENTICATION,
            'The bearer token is missing or unknown.',
            not_run=True,
        ),
        ErrorKind.PEER_REFUSED: ErrorResponse(
            HTTPStatus.FORBIDDEN,
            _AUTHENTICATION,
            'This endpoint is for peers only.',
            not_run=True,
        ),
        ErrorKind.UNKNOWN_PATH: ErrorResponse(
            HTTPStatus.NOT_FOUND,
            _INVALID_REQUEST,
            'The path does not exist.',
            not_run=True,
        ),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(
            HTTPStatus.METHOD_NOT_ALLOWED,
            _INVALID_REQUEST,
            'The method is not allowed here.',
            not_run=True,
        ),
        ErrorKind.UNKNOWN_MODEL: ErrorResponse(
            HTTPStatus.NOT_FOUND,
            _INVALID_REQUEST,
            'The model does not exist.',
            not_run=True,
        ),
        ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
            HTTPStatus.NOT_FOUND,
            _INVALID_REQUEST,
            'The service does not exist.',
            not_run=True,
        ),
        ErrorKind.IDEMPOTENCY_MISMATCH: ErrorResponse(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _INVALID_REQUEST,
            'The idempotency key was used with another request.',
            not_run=True,
        ),
        ErrorKind.IN_PROGRESS: ErrorResponse(
            HTTPStatus.CONFLICT,
            _INVALID_REQUEST,
            'A request with this idempotency key is in progress.',
            not_run=False,
            retry_after_seconds=2,
        ),
        ErrorKind.ALREADY_FINISHED: ErrorResponse(
            HTTPStatus.CONFLICT,
            _INVALID_REQUEST,
            'The request with this idempotency key has already run.',
            not_run=False,
        ),
        ErrorKind.TOO_MANY_CONNECTIONS: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'The instance has too many open connections; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.INSTANCE_BUSY: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'This instance is at capacity; not run.',
            not_run=True,
            retry_after_seconds=_OTHER_INSTANCE_SECONDS,
        ),
        ErrorKind.RATE_LIMITED: ErrorResponse(
            HTTPStatus.TOO_MANY_REQUESTS,
            _RATE_LIMIT,
            'The rate limit of the workspace is reached.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.QUEUE_FULL: ErrorResponse(
            HTTPStatus.TOO_MANY_REQUESTS,
            _RATE_LIMIT,
            'Too many requests of the workspace are queued; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.NOT_RUN_DEADLINE: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'No capacity became available before the deadline; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.NOT_RUN_NO_SERVER: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'No backend server is available; not run.',
            not_run=True,
            retry_after_seconds=2,
        ),
        ErrorKind.NOT_RUN_VERSION: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'No backend server can continue the stream; not run.',
            not_run=True,
            retry_after_seconds=2,
        ),
        ErrorKind.NOT_RUN_DRAINING: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'The instance is shutting down; not run.',
            not_run=True,
            retry_after_seconds=0,
        ),
        ErrorKind.NOT_RUN_PLATFORM_DOWN: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'The record of this request cannot be stored at present; not run.',
            not_run=True,
            retry_after_seconds=5,
        ),
        ErrorKind.NOT_RUN_LOST: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _OVERLOADED,
            'The request was lost in transit; not run.',
            not_run=True,
            retry_after_seconds=1,
        ),
        ErrorKind.NOT_RUN_CRASHES: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _SERVER_ERROR,
            'Servers crashed running this request; not run again for now.',
            not_run=True,
            retry_after_seconds=60,
        ),
        ErrorKind.NOT_RUN_PROMPT_PART: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _SERVER_ERROR,
            'Servers crashed on a part of this prompt; not run for now.',
            not_run=True,
            retry_after_seconds=60,
        ),
        ErrorKind.CRASHES_SERVERS: ErrorResponse(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _INVALID_REQUEST,
            'This request crashed the servers that ran it; refused for now.',
            not_run=True,
        ),
        ErrorKind.TIMED_OUT: ErrorResponse(
            HTTPStatus.GATEWAY_TIMEOUT,
            _SERVER_ERROR,
            'No complete response arrived in time; the request may have run.',
            not_run=False,
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            _SERVER_ERROR,
            'The request may have run; its outcome is unknown.',
            not_run=False,
        ),
        ErrorKind.ANSWER_CUT: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            _SERVER_ERROR,
            'The response was interrupted; it is not complete.',
            not_run=False,
        ),
        ErrorKind.SERVER_FAILED: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            _SERVER_ERROR,
            'The backend server failed while running the request.',
            not_run=False,
        ),
        ErrorKind.INTERNAL: ErrorResponse(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            _SERVER_ERROR,
            'The router failed; the outcome is unknown.',
            not_run=False,
        ),
    }
)


def error_response_for(kind: ErrorKind) -> ErrorResponse:
    """Return the response for an error kind.

    :param kind: an error kind; every kind has a response.
    :return: its response.
    """
    return ERROR_RESPONSES[kind]
