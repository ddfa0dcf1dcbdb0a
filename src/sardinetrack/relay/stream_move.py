"""Decisions about moving a stream to another engine.

When a stream is moved, to which server, in which steps, and what follows when a
step fails. No I/O and no clock: the caller performs the steps and reports what
happened.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import Enum, StrEnum, auto
from functools import partial
from types import MappingProxyType
from typing import Final

import xxhash

from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.topology.servers import BackendServer

MIN_RUN_SECONDS: Final = 1.0
"""How long a stream runs on at a leaving engine before it is moved.

Most streams end by themselves in that time. The engine serves for 3 s, and the
steps of a move take up to a second each.
"""
PLACE_AGAIN_SECONDS: Final = 1.0
"""When a destination is looked for again if there was none; only once."""
_WAIT_DIGITS: Final = 2
"""Waits are compared in hundredths of a second."""
_UNKNOWN: Final = EstimatedLoad()


class MoveStep(Enum):
    """What is to be done next."""

    PLACE = auto()
    """Choose a destination and get a permit there."""
    WAIT = auto()
    PLACE_AGAIN = auto()
    COPY = auto()
    """Copy the KV cache while the run continues."""
    STOP = auto()
    """Copy the rest; the run stops and its stream closes."""
    DRAIN = auto()
    """Read the stream of the stopped run to its end, then go to SEND.

    Events that it still sends would otherwise be missing from the response.
    """
    DRAIN_BACK = auto()
    """The same before SEND_BACK."""
    WATCH = auto()
    """Find out from the stream whether its run has stopped."""
    STOP_AGAIN = auto()
    """Ask again for the copy of a run that has stopped; the reply was lost."""
    SEND = auto()
    """Send the request to the destination, which holds the copy."""
    SEND_BACK = auto()
    """Send it to the source, which has kept its memory."""


class MoveEvent(Enum):
    """What happened in a step."""

    PERMITTED = auto()
    NOT_PERMITTED = auto()
    """There is no destination, or its side grants no permit."""
    WAITED = auto()
    COPIED = auto()
    NO_RUN = auto()
    """The source has no such run: it has just ended."""
    NO_ROOM = auto()
    """The copy failed, and the source gave a handle for its own memory."""
    NO_COPY = auto()
    """The call failed, or there was no response to it."""
    NOT_ALLOWED = auto()
    """The request could not be sent on now, so the run is not stopped."""
    STREAM_COMPLETE = auto()
    STREAM_BROKEN = auto()
    """The stream ended without its end."""
    UNNUMBERED = auto()
    """The same, and its last event has no number to continue after."""
    STREAM_CONTINUES = auto()
    STREAM_SILENT = auto()
    """Nothing has come for longer than a sound engine is silent."""
    ACCEPTED = auto()
    """The server has sent the first event of the continued stream."""
    NOT_RUN = auto()
    """The server proves that it did not run the request, or it was not sent."""
    REJECTED = auto()
    """The attempt ended otherwise before its first event."""


class MoveOutcome(StrEnum):
    """How a move ended; the label of its metric."""

    MOVED = 'moved'
    RETURNED = 'returned'
    """The stream goes on at the source, after a pause."""
    NO_DESTINATION = 'no_destination'
    NOT_COPIED = 'not_copied'
    """The stream stays where it is."""
    NOT_STOPPED = 'not_stopped'
    """The call that stops the run got no response, and the run continues."""
    ENDED = 'ended'
    """The run ended by itself."""
    BROKEN = 'broken'
    """The stream broke, or stayed silent, before it could be sent on."""
    REJECTED = 'rejected'
    """No server continued the stream."""
    REVOKED = 'revoked'
    """Its key or its route was removed."""
    CANCELLED = 'cancelled'
    """The caller disconnected, or the deadline of the request passed."""

    @property
    def frees_copies(self) -> bool:
        """Whether the source is asked to free the copies.

        A source whose connections break does not respond; the copies expire.
        """
        return self is not MoveOutcome.BROKEN


_Next = MoveStep | MoveOutcome
_Transitions = Mapping[MoveEvent, _Next]
_STREAM_ENDS: Final[_Transitions] = MappingProxyType(
    {
        MoveEvent.STREAM_COMPLETE: MoveOutcome.ENDED,
        MoveEvent.STREAM_BROKEN: MoveOutcome.BROKEN,
    }
)
_TRANSITIONS: Final[Mapping[MoveStep, _Transitions]] = MappingProxyType(
    {
        MoveStep.PLACE: {
            **_STREAM_ENDS,
            MoveEvent.PERMITTED: MoveStep.COPY,
            MoveEvent.NOT_PERMITTED: MoveStep.WAIT,
        },
        MoveStep.WAIT: {
            **_STREAM_ENDS,
            MoveEvent.WAITED: MoveStep.PLACE_AGAIN,
        },
        MoveStep.PLACE_AGAIN: {
            **_STREAM_ENDS,
            MoveEvent.PERMITTED: MoveStep.COPY,
            MoveEvent.NOT_PERMITTED: MoveOutcome.NO_DESTINATION,
        },
        MoveStep.COPY: {
            **_STREAM_ENDS,
            MoveEvent.COPIED: MoveStep.STOP,
            MoveEvent.NO_RUN: MoveOutcome.ENDED,
            MoveEvent.NO_ROOM: MoveOutcome.NOT_COPIED,
            MoveEvent.NO_COPY: MoveOutcome.NOT_COPIED,
        },
        MoveStep.STOP: {
            MoveEvent.COPIED: MoveStep.DRAIN,
            MoveEvent.NOT_ALLOWED: MoveOutcome.NOT_COPIED,
            MoveEvent.NO_RUN: MoveOutcome.ENDED,
            MoveEvent.NO_ROOM: MoveStep.DRAIN_BACK,
            MoveEvent.NO_COPY: MoveStep.WATCH,
        },
        MoveStep.DRAIN: {
            MoveEvent.STREAM_COMPLETE: MoveOutcome.ENDED,
            MoveEvent.STREAM_BROKEN: MoveStep.SEND,
            MoveEvent.UNNUMBERED: MoveOutcome.BROKEN,
        },
        MoveStep.DRAIN_BACK: {
            MoveEvent.STREAM_COMPLETE: MoveOutcome.ENDED,
            MoveEvent.STREAM_BROKEN: MoveStep.SEND_BACK,
            MoveEvent.UNNUMBERED: MoveOutcome.BROKEN,
        },
        MoveStep.WATCH: {
            MoveEvent.STREAM_COMPLETE: MoveOutcome.ENDED,
            MoveEvent.STREAM_BROKEN: MoveStep.STOP_AGAIN,
            MoveEvent.STREAM_CONTINUES: MoveOutcome.NOT_STOPPED,
            MoveEvent.STREAM_SILENT: MoveOutcome.BROKEN,
        },
        MoveStep.STOP_AGAIN: {
            MoveEvent.COPIED: MoveStep.SEND,
            MoveEvent.NO_RUN: MoveOutcome.BROKEN,
            MoveEvent.NO_ROOM: MoveStep.SEND_BACK,
            MoveEvent.NO_COPY: MoveOutcome.BROKEN,
            MoveEvent.UNNUMBERED: MoveOutcome.BROKEN,
        },
        MoveStep.SEND: {
            MoveEvent.ACCEPTED: MoveOutcome.MOVED,
            MoveEvent.NOT_RUN: MoveStep.SEND_BACK,
            MoveEvent.REJECTED: MoveOutcome.REJECTED,
        },
        MoveStep.SEND_BACK: {
            MoveEvent.ACCEPTED: MoveOutcome.RETURNED,
            MoveEvent.NOT_RUN: MoveOutcome.REJECTED,
            MoveEvent.REJECTED: MoveOutcome.REJECTED,
        },
    }
)


class StreamMove:
    """The steps of one move, as a state machine."""

    def __init__(self) -> None:
        self.step = MoveStep.PLACE
        self.outcome: MoveOutcome | None = None

    @property
    def sends(self) -> bool:
        """Whether the source has stopped and the request is to be sent."""
        sending = self.step in {MoveStep.SEND, MoveStep.SEND_BACK}
        return sending and self.outcome is None

    def apply(self, event: MoveEvent) -> None:
        """Go on to the next step, or end."""
        following = _TRANSITIONS[self.step][event]
        if isinstance(following, MoveOutcome):
            self.end(following)
        else:
            self.step = following

    def end(self, outcome: MoveOutcome) -> None:
        """End, unless it has ended."""
        if self.outcome is None:
            self.outcome = outcome


class MoveSchedule:
    """When the stream of one attempt is to be moved."""

    def __init__(self) -> None:
        self._leaving_since_seconds = math.inf

    def is_due(self, now: float, *, leaving: bool, has_events: bool) -> bool:
        """Whether the stream is to be moved now.

        :param leaving: whether its engine is known to leave.
        :param has_events: whether the caller has an event of the stream; until
            then there is nothing after which another engine could continue.
        """
        if leaving:
            # It stays known when the record of the engine is removed.
            self._leaving_since_seconds = min(self._leaving_since_seconds, now)
        due_seconds = self._leaving_since_seconds + MIN_RUN_SECONDS
        return has_events and now >= due_seconds


def choose_destination(
    source: BackendServer,
    servers: Sequence[BackendServer],
    loads: Mapping[str, EstimatedLoad],
    request_id: str,
) -> BackendServer | None:
    """Choose the server that a stream is moved to.

    Servers in the source's failure domain come first, then the least wait. At
    equal waits the hash of the request decides, so that all streams of an
    engine don't go to the same server, from every entry.

    :param servers: those that may be sent a request.
    """
    others = [one for one in servers if one.instance != source.instance]
    if not others:
        return None
    return min(others, key=partial(_cost, source, loads, request_id))


def _cost(
    source: BackendServer,
    loads: Mapping[str, EstimatedLoad],
    request_id: str,
    server: BackendServer,
) -> tuple[bool, float, int]:
    load = loads.get(server.instance) or _UNKNOWN
    pair = f'{request_id} {server.instance}'
    return (
        server.failure_domain != source.failure_domain,
        round(load.wait_seconds(), _WAIT_DIGITS),
        xxhash.xxh3_64_intdigest(pair.encode()),
    )
