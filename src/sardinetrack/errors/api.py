"""Error kinds, and the exception that carries one to the HTTP response."""

from __future__ import annotations

from enum import StrEnum


class ErrorKind(StrEnum):
    """All kinds of errors; the value is the ``code`` in the response."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TIMEOUT = 'body_timeout'
    UNAUTHENTICATED = 'unauthenticated'
    PEER_REFUSED = 'peer_refused'
    UNKNOWN_PATH = 'unknown_path'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    IDEMPOTENCY_MISMATCH = 'idempotency_key_reused'
    IN_PROGRESS = 'request_in_progress'
    ALREADY_FINISHED = 'request_already_finished'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    INSTANCE_BUSY = 'instance_busy'
    RATE_LIMITED = 'rate_limited'
    QUEUE_FULL = 'queue_full'
    NOT_RUN_DEADLINE = 'not_run_deadline'
    NOT_RUN_NO_SERVER = 'not_run_no_server'
    NOT_RUN_VERSION = 'not_run_version'
    NOT_RUN_DRAINING = 'not_run_draining'
    NOT_RUN_PLATFORM_DOWN = 'not_run_platform_down'
    NOT_RUN_LOST = 'not_run_lost'
    NOT_RUN_CRASHES = 'not_run_crashes'
    NOT_RUN_PROMPT_PART = 'not_run_prompt_part'
    CRASHES_SERVERS = 'crashes_servers'
    TIMED_OUT = 'timed_out'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ANSWER_CUT = 'answer_cut'
    SERVER_FAILED = 'server_failed'
    INTERNAL = 'internal_error'


class RequestError(Exception):
    """An error that is sent to the caller; the table defines its response."""

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = '',
        *,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Create an error of a kind.

        :param kind: key of the response in the table.
        :param detail: about this case, sent to the caller.
        :param retry_after_seconds: delay before a retry; ``None`` for the
            default of the table.
        """
        super().__init__(f'{kind.value}: {detail}' if detail else kind.value)
        self.kind = kind
        self.detail = detail
        self.retry_after_seconds = retry_after_seconds
