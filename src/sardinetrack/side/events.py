"""Messages between the tasks of a side."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
from anyio.streams.memory import MemoryObjectSendStream
from msgspec import Struct

from sardinetrack.links.api import LinkEvent
from sardinetrack.messages.api import ConfigDigest, SideLoad
from sardinetrack.messages.run import (
    AttemptStatusRequest,
    AttemptStatusResponse,
    RunRequest,
    RunResult,
)


@dataclass(frozen=True, slots=True)
class Started:
    """Send the request to the backend server now."""

    free: int
    """Free slots, for the response's header."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Respond to the entry that the request was not started."""

    run_result: RunResult


@dataclass(frozen=True, slots=True)
class Stopped:
    """Cancel the request at the backend server."""


AttemptDecision = Started | Refused | Stopped


@dataclass(frozen=True, slots=True)
class RunRequestReceived:
    """A run request and its complete body have arrived."""

    run_request: RunRequest
    decisions: MemoryObjectSendStream[AttemptDecision]
    """Buffers two decisions, so that sending them never blocks."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The task of an attempt has ended, whether it was started or not."""

    attempt_id: str
    complete: bool
    cost: float
    stopped: bool = False
    """The response is incomplete because the side itself ended the request."""


@dataclass(frozen=True, slots=True)
class AttemptQueried:
    """An entry has sent a status query for an attempt."""

    query: AttemptStatusRequest
    responses: MemoryObjectSendStream[AttemptStatusResponse]


@dataclass(frozen=True, slots=True)
class RestRequested:
    """A response of the backend server asks for no requests for some time."""

    seconds: float
    attempt_id: str
    """Empty if the side itself had queried the server."""


@dataclass(frozen=True, slots=True)
class ServerResponded:
    """A response of the backend server says whether the server is leaving."""

    sent_at: float
    """When its request was sent (monotonic)."""
    leaving: bool
    attempt_id: str
    """Empty if the side itself had queried the server."""


@dataclass(frozen=True, slots=True)
class ServerReconnected:
    """The backend server accepts connections again."""

    refused_at: float
    """When it refused one (monotonic): no process of it was listening."""


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """The number of requests that the backend server can run has changed."""

    limit: int


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """Accept no new run requests; set ``idle`` when none is running."""

    idle: anyio.Event


@dataclass(frozen=True, slots=True)
class DrainTimedOut:
    """Cancel all requests that are still running."""


class SideStatusPage(Struct, frozen=True):
    """Status of a side, for operators and peers."""

    instance: str
    incarnation: str
    pool: str
    backend_server: str
    failure_domain: str
    ready: bool
    load: SideLoad
    configuration: ConfigDigest
    links: tuple[str, ...]
    """Linked instances."""


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """An operator or peer requests the status."""

    responses: MemoryObjectSendStream[SideStatusPage]


SideEvent = (
    LinkEvent
    | RunRequestReceived
    | AttemptEnded
    | AttemptQueried
    | LimitChanged
    | RestRequested
    | ServerResponded
    | ServerReconnected
    | DrainStarted
    | DrainTimedOut
    | StatusRequested
)
SideEvents = MemoryObjectSendStream[SideEvent]
