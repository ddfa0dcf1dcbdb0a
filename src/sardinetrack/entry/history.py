"""Whether a request may have run, derived from all its attempts."""

from __future__ import annotations

from collections.abc import Callable

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.errors.table import error_response_for
from sardinetrack.routing.api import AttemptOutcome, Reject


class RunHistory:
    """Ensures that "not run" is true of all attempts of a request."""

    def __init__(self, on_may_have_run: Callable[[bool], None]) -> None:
        """Start without attempts.

        :param on_may_have_run: called before and after each attempt with
            whether the request may have run.
        """
        self._on_change = on_may_have_run
        self._ran = False
        self._unknown = False

    def attempt_started(self) -> None:
        """Record that a run request is about to be sent."""
        self._on_change(True)

    def attempt_ended(self, end: AttemptOutcome) -> None:
        """Record the outcome of an attempt."""
        if end is AttemptOutcome.UNKNOWN:
            self._unknown = True
        elif end is not AttemptOutcome.NOT_STARTED:
            self._ran = True
        self._on_change(self._ran or self._unknown)

    def failure(self, reject: Reject) -> RequestError:
        """Convert the final decision to the caller's error.

        A repeatable request may have run on one server and then reached its
        deadline while it waited for another one. The decision "not run" is then
        true of the last attempt only and would be false for the request.

        :param reject: the decision.
        :return: the error to respond with.
        """
        return RequestError(
            self._true_kind(reject.kind),
            reject.detail,
            retry_after_seconds=reject.retry_after_seconds,
        )

    def _true_kind(self, kind: ErrorKind) -> ErrorKind:
        if not error_response_for(kind).not_run:
            return kind
        if self._unknown:
            return ErrorKind.OUTCOME_UNKNOWN
        return ErrorKind.SERVER_FAILED if self._ran else kind
