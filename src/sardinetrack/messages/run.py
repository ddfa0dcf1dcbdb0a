"""Messages on the HTTP connection that carries a request to a side."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct

RUN_PATH: Final = '/peer/v1/run'
ATTEMPT_PATH: Final = '/peer/v1/attempts/'
RUN_HEADER: Final = 'sardinetrack-run'
RESULT_HEADER: Final = 'sardinetrack-result'


class RunRequest(Struct, frozen=True):
    """Run request of an entry to a side; sent as JSON in ``RUN_HEADER``."""

    attempt_id: str
    incarnation: str
    """Of the addressed side process; any other refuses the run request."""
    entry: str
    workspace: str
    tag: float
    hint_cost: float
    grant: int
    """Number of the grant; 0 for a request sent without a grant."""
    wait_seconds: float
    """How long the request may wait at the side before it starts."""
    idempotent: bool
    method: str
    path: str
    """Path and query for the backend server."""
    headers: tuple[tuple[str, str], ...]
    fingerprint: str
    suspect: bool
    """The request was running when another backend server crashed."""
    bids: tuple[tuple[str, float, int, float], ...] = ()
    """The entry's current bids, see ``BidRow``; saves a separate message."""


class AttemptStatus(StrEnum):
    """Status of an attempt at its side."""

    NOT_STARTED = 'not_started'
    """Not started, and the side will not start it after this response."""
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    """Started; the backend server sent no complete response."""
    STOPPED = 'stopped'
    """Started and stopped by the side; the backend server did not fail."""
    UNKNOWN = 'unknown'
    """The side process started after the attempt and has no record of it."""


class RunResult(Struct, frozen=True):
    """A side's result of a run request; sent as JSON in ``RESULT_HEADER``."""

    fate: AttemptStatus
    incarnation: str
    status: int = 0
    """HTTP status of the backend server's response; 0 if there is none."""
    reason: str = ''
    """Why the request was not started: ``busy``, ``draining``, ``expired``…"""
    free: int = 0
    """Free slots at the side."""


class AttemptStatusRequest(Struct, frozen=True):
    """Status query after a broken connection; body of a POST request."""

    attempt_id: str
    incarnation: str
    """Of the side process to which the run request was sent."""
    cancel: bool
    """Also cancel the attempt if it runs."""


class AttemptStatusResponse(Struct, frozen=True):
    """Response to a status query; ``NOT_STARTED`` is final."""

    fate: AttemptStatus
    incarnation: str
