"""What the attempts of one request tell about whether it ran."""

from __future__ import annotations

from collections.abc import Callable

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.errors.table import answer_for
from sardinetrack.routing.api import AttemptEnd, Reject


class RunHistory:
    """Keeps "not run" true over all attempts of a request."""

    def __init__(self, note_may_have_run: Callable[[bool], None]) -> None:
        """Start with no attempt.

        :param note_may_have_run: told each time the knowledge changes.
        """
        self._note = note_may_have_run
        self._ran = False
        self._unknown = False

    def begins(self) -> None:
        """Note that an order is about to leave."""
        self._note(True)

    def ended(self, end: AttemptEnd) -> None:
        """Note how an attempt ended."""
        if end is AttemptEnd.UNKNOWN:
            self._unknown = True
        elif end is not AttemptEnd.NOT_STARTED:
            self._ran = True
        self._note(self._ran or self._unknown)

    def failure(self, reject: Reject) -> AnsweredError:
        """Turn the final decision into the caller's error.

        A repeatable request may have run on one server and then wait in vain
        for the next one: the decision is then "not run" for the last attempt
        alone, and the caller would be told a falsehood about the first.

        :param reject: the decision.
        :return: the error to answer with.
        """
        return AnsweredError(
            self._true_kind(reject.kind),
            reject.detail,
            retry_after_seconds=reject.retry_after_seconds,
        )

    def _true_kind(self, kind: ErrorKind) -> ErrorKind:
        if not answer_for(kind).not_run:
            return kind
        if self._unknown:
            return ErrorKind.OUTCOME_UNKNOWN
        return ErrorKind.SERVER_FAILED if self._ran else kind
