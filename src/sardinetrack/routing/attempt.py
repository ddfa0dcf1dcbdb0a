"""A dispatched request, and the truth about one given up."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.errors.api import ErrorKind
from sardinetrack.routing.api import Reject
from sardinetrack.routing.queue import Waiting


@dataclass(frozen=True, slots=True)
class Attempt:
    """A dispatched request."""

    attempt_id: str
    waiting: Waiting
    side: str
    backend_server: str
    generation: int
    """Of the server's breaker when it was sent."""
    suspect: bool
    """It was running when another server crashed."""


def give_up(waiting: Waiting, kind: ErrorKind) -> Reject:
    """Reject a waiting request truthfully.

    One that ran before, and was to be tried again, must not be called "not
    run": it gets the error of its last attempt.

    :param waiting: the request.
    :param kind: what to say when no attempt ran.
    :return: the answer.
    """
    return Reject(
        waiting.work.request_id,
        waiting.ran or kind,
        strike=waiting.strike,
    )
