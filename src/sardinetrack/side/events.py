"""Messages between the tasks of a side."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
from anyio.streams.memory import MemoryObjectSendStream
from msgspec import Struct

from sardinetrack.links.api import LinkEvent
from sardinetrack.messages.api import ConfigDigest, SideLoad
from sardinetrack.messages.run import (
    AttemptAnswer,
    AttemptQuery,
    RunOrder,
    RunResult,
)


@dataclass(frozen=True, slots=True)
class Started:
    """Hand the request to the backend server now."""

    free: int
    """Free slots for the answer's header."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Answer the entry that the request was not started."""

    run_result: RunResult


@dataclass(frozen=True, slots=True)
class Stopped:
    """Cancel the request at the backend server."""


Verdict = Started | Refused | Stopped


@dataclass(frozen=True, slots=True)
class Arrived:
    """An order and its whole body are here."""

    order: RunOrder
    verdicts: MemoryObjectSendStream[Verdict]
    """Takes two verdicts without waiting."""


@dataclass(frozen=True, slots=True)
class Left:
    """The task of an order is done with it, started or not."""

    attempt_id: str
    whole: bool
    cost: float
    stopped: bool = False
    """Not whole because the side itself ended it."""


@dataclass(frozen=True, slots=True)
class Asked:
    """An entry asks for the fate of an attempt."""

    query: AttemptQuery
    answers: MemoryObjectSendStream[AttemptAnswer]


@dataclass(frozen=True, slots=True)
class Resized:
    """The backend server can take another number of requests."""

    limit: int


@dataclass(frozen=True, slots=True)
class DrainBegan:
    """Take no new work; tell when nothing runs any more."""

    idle: anyio.Event


@dataclass(frozen=True, slots=True)
class CutOff:
    """Stop everything that still runs."""


class SideStatus(Struct, frozen=True):
    """What operators and peers may read about a side."""

    instance: str
    incarnation: str
    pool: str
    backend_server: str
    failure_domain: str
    ready: bool
    load: SideLoad
    configuration: ConfigDigest
    links: tuple[str, ...]
    """Instances that are linked now."""


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """Somebody wants the status."""

    answers: MemoryObjectSendStream[SideStatus]


SideEvent = (
    LinkEvent
    | Arrived
    | Left
    | Asked
    | Resized
    | DrainBegan
    | CutOff
    | StatusAsked
)
SideEvents = MemoryObjectSendStream[SideEvent]
