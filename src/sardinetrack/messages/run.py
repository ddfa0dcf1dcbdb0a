"""Messages on the request's own connection from entry to side."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct

RUN_PATH: Final = '/peer/v1/run'
ATTEMPT_PATH: Final = '/peer/v1/attempts/'
RUN_HEADER: Final = 'sardinetrack-run'
RESULT_HEADER: Final = 'sardinetrack-result'


class RunOrder(Struct, frozen=True):
    """What an entry asks of a side; travels as JSON in ``RUN_HEADER``."""

    attempt_id: str
    incarnation: str
    """The side process that is meant; any other refuses the order."""
    entry: str
    workspace: str
    tag: float
    hint_cost: float
    grant: int
    """Number of the grant; 0 for a request sent on the chance of a slot."""
    wait_seconds: float
    """How long the request may stay unstarted at the side."""
    idempotent: bool
    method: str
    path: str
    """Path and query at the backend server."""
    headers: tuple[tuple[str, str], ...]
    fingerprint: str
    suspect: bool
    """It was running when another backend server crashed."""
    bids: tuple[tuple[str, float, int, float], ...] = ()
    """The entry's fresh bids, see ``BidRow``; saves a message."""


class Fate(StrEnum):
    """What a side knows of an attempt."""

    NOT_STARTED = 'not_started'
    """Not started and, from this answer on, never will be."""
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    """Started; the backend server gave no whole answer."""
    STOPPED = 'stopped'
    """Started; the side itself ended it, the backend server did not fail."""
    UNKNOWN = 'unknown'
    """The side is younger than the attempt: it can't know."""


class RunResult(Struct, frozen=True):
    """First word of a side on an order; JSON in ``RESULT_HEADER``."""

    fate: Fate
    incarnation: str
    status: int = 0
    """Status of the backend server when it answered."""
    reason: str = ''
    """Why the order was not started: ``busy``, ``draining``, ``expired``…"""
    free: int = 0
    """Free slots at the side now."""


class AttemptQuery(Struct, frozen=True):
    """A question after a broken connection; body of a POST."""

    attempt_id: str
    incarnation: str
    """The side process that the order was sent to."""
    cancel: bool
    """Also stop it if it runs."""


class AttemptAnswer(Struct, frozen=True):
    """The side's answer; ``NOT_STARTED`` is binding for the future."""

    fate: Fate
    incarnation: str
