"""Messages between an entry and a side: one JSON array per line."""

from __future__ import annotations

import math
from typing import Final

import msgspec

from sardinetrack.messages.api import Strike
from sardinetrack.messages.json_input import JsonDecoder
from sardinetrack.placement.step_pace import StepPace
from sardinetrack.quarantine.api import PartReport
from sardinetrack.topology.cold import ColdEstimate
from sardinetrack.topology.starts import UNKNOWN_START_HASH, ServerStart
from sardinetrack.turns.origin_messages import (
    OriginsFromEntry,
    OriginsFromSide,
)
from sardinetrack.views.messages import FromFollower, FromWatcher

MAX_LINE_BYTES: Final = 65_536
"""Limit for a line of an entry."""
MAX_SIDE_LINE_BYTES: Final = 8_388_608
"""Limit for a line of a side, which may hold a configuration of a megabyte or
a long list of servers; the encoding makes both a third longer."""


class Hello(msgspec.Struct, tag='hello', array_like=True, frozen=True):
    """Name of the entry, and size of the server's engine; the first message."""

    entry: str
    slots: int
    memory_tokens: int
    asks_origins: bool = False
    """Whether the entry understands the messages about streams' origins;
    false for an entry of the previous version during a rolling upgrade."""
    reports_parts: bool = False
    """Whether it understands reports about the parts of prompts."""


class PermitRequest(msgspec.Struct, tag='ask', array_like=True, frozen=True):
    """Request for a permit to send one request to the server."""

    permit_id: str
    workspace: str
    prefill_tokens: int
    kv_cache_tokens: int
    output_tokens: int
    max_wait_seconds: float
    priority: int
    served_tokens: float
    shared_prefix: str
    first_event_due_seconds: float
    other_workspaces: tuple[tuple[str, int], ...] = ()
    """Recent service that other workspaces received through the entry from
    any server; only those served since its last request to this side."""
    fingerprint: str = ''
    """Same for every retry of the request by its caller; empty if unknown."""
    until_deadline_seconds: float = 0
    """How long its caller waits for the complete response; 0 if unknown."""
    since_refusal_seconds: float = 0
    """Time since another side refused the request first; already subtracted
    from the due time."""
    event_gap_seconds: float = 0
    """Objective of its route for the longest pause between two events; 0 if
    there is none."""
    is_trial: bool = False
    """Whether a part of its prompt is suspected of crashing engines."""
    cached_tokens: int = 0
    """Prompt tokens that the engine should cache; 0 from an entry of the
    previous version."""
    short_seconds: float = 0
    """How long the entry has refused requests of the workspace."""

    @property
    def left_seconds(self) -> float:
        """How long its caller waits; infinite if unknown."""
        return self.until_deadline_seconds or math.inf

    @property
    def gap_objective_seconds(self) -> float:
        """Objective for the longest pause; infinite if there is none."""
        return self.event_gap_seconds or math.inf


class Begun(msgspec.Struct, tag='begun', array_like=True, frozen=True):
    """The first event of a request's response has arrived."""

    permit_id: str
    pool: str = ''
    """Of the server; empty from an entry of the previous version."""
    version: str = ''
    """Of the server's software."""
    start_hash: int = UNKNOWN_START_HASH
    """Of the start that the entry takes the server for, where a server may
    restart under its id; see ``ServerStart``."""


class Ended(msgspec.Struct, tag='ended', array_like=True, frozen=True):
    """A request has ended, or its caller disconnected while it waited."""

    permit_id: str
    complete: bool = False
    """Whether its caller has received the complete response."""


class ServerStarted(
    msgspec.Struct, tag='started', array_like=True, frozen=True
):
    """The start of the server that the sender knows; see ``ServerStart``."""

    instance: str
    started_milliseconds: int | None
    revision: int
    cold_seconds: float = 0
    """How long the cold start lasts by the server's record in the list."""
    assumed_cold_seconds: float = 0
    """The same, as assumed from what has happened to the server."""
    cold_per_second: float = 0
    """Requests a second that it handles while cold; 0 for no limit."""
    version: str = ''
    """Of its software; empty from a process of the previous version."""


class PermitGranted(
    msgspec.Struct, tag='granted', array_like=True, frozen=True
):
    """Permit to send the request now."""

    permit_id: str


class PermitRefused(
    msgspec.Struct, tag='refused', array_like=True, frozen=True
):
    """Refusal: the request can't be served in time."""

    permit_id: str
    retry_after_seconds: float
    waited_seconds: float
    ahead_tokens: int
    since_refusal_seconds: float = 0
    """Time since this side refused it first; 0 if it never did."""
    trial_runs: bool = False
    """Whether it is a trial, and may begin only after another one."""
    service_fraction: float = 1
    """Service of its workspace as a fraction of the most that any workspace has
    received that lately waited there; 1 from a side of the previous version."""


class SideReport(msgspec.Struct, tag='load', array_like=True, frozen=True):
    """Load report of a side, sent to every entry several times a second."""

    wait_seconds: float
    """Until a request that arrives now would begin prefill and have a slot."""
    rate_tokens: float
    slots_left: int
    """For entries of the previous version during a rolling upgrade."""
    entries: int
    """Entries connected to the side; 0 while it can't know them all."""
    prefixes: tuple[str, ...]
    """Shared prefixes of the requests permitted since the last report."""
    start_hash: int
    """Of the start that the report is about; see ``ServerStart``."""
    retention_seconds: float
    """How long the engine caches a prefix after its last use."""
    event_tokens: float = 0
    """Pace of the engine's steps, see ``StepPace``; 0 if unknown."""
    decode_step_seconds: float = 0
    prefill_step_seconds: float = 0
    streams: int = 0
    """Requests that run at the engine."""
    recent_pause_seconds: float = 0
    """Longest pause that its prefill caused lately; see ``RecentPause``."""


class StrikesReported(
    msgspec.Struct, tag='struck', array_like=True, frozen=True
):
    """Strikes: requests that were running when their servers crashed."""

    strikes: tuple[Strike, ...]


class PartsReported(msgspec.Struct, tag='parts', array_like=True, frozen=True):
    """What is known of parts of prompts that may crash engines."""

    reports: tuple[PartReport, ...]
    is_complete: bool = False
    """Whether they are all that a side knows, which it sends to each entry that
    connects."""


FromEntry = (
    Hello
    | PermitRequest
    | Begun
    | Ended
    | StrikesReported
    | PartsReported
    | ServerStarted
    | OriginsFromEntry
    | FromFollower
)
FromSide = (
    PermitGranted
    | PermitRefused
    | SideReport
    | StrikesReported
    | PartsReported
    | ServerStarted
    | OriginsFromSide
    | FromWatcher
)


def decode_pace(message: SideReport) -> StepPace:
    """Decode the pace of an engine's steps from its side's report."""
    return StepPace(
        message.event_tokens,
        message.decode_step_seconds,
        message.prefill_step_seconds,
    )


def decode_start(message: ServerStarted) -> ServerStart:
    """Decode a start from its message."""
    return ServerStart(
        message.instance,
        message.started_milliseconds,
        message.revision,
        message.version,
    )


def encode_start(
    start: ServerStart,
    now: float,
    cold: ColdEstimate,
) -> ServerStarted:
    """Encode a start as a message.

    :param now: by the clock of the cold estimate, in seconds.
    """
    return ServerStarted(
        start.instance,
        start.started_milliseconds,
        start.revision,
        max(0, cold.reported_until_seconds - now),
        max(0, cold.assumed_until_seconds - now),
        cold.per_second,
        start.version,
    )


ENCODE: Final = msgspec.json.Encoder().encode
DECODE_FROM_ENTRY: Final = JsonDecoder[FromEntry](FromEntry).decode
DECODE_FROM_SIDE: Final = JsonDecoder[FromSide](FromSide).decode
