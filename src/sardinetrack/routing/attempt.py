"""Attempts to run a request, and the rejection of one that can't be run."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.errors.api import ErrorKind
from sardinetrack.routing.api import Reject
from sardinetrack.routing.queue import QueuedRequest


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One dispatch of a request to a side."""

    attempt_id: str
    queued: QueuedRequest
    side: str
    backend_server: str
    generation: int
    """Generation of the server's breaker when the request was sent."""
    suspect: bool
    """The request was running when another server crashed."""


def rejection_for(queued: QueuedRequest, kind: ErrorKind) -> Reject:
    """Reject a queued request with an error that fits its earlier attempts.

    A request that ran before and was queued for a retry must not be reported
    as "not run": it gets the error of its last attempt.

    :param queued: the request.
    :param kind: error to report if no attempt ran.
    :return: the rejection.
    """
    return Reject(
        queued.work.request_id,
        queued.previous_error or kind,
        strike=queued.strike_number,
    )
