"""Messages between an entry and a side: one JSON array a line."""

from __future__ import annotations

import math
from typing import Final

import msgspec

from sardinetrack.messages.api import Strike
from sardinetrack.topology.cold import ColdWord
from sardinetrack.topology.starts import ServerStart
from sardinetrack.views.messages import FromFollower, FromWatcher

MOST_LINE_BYTES: Final = 65_536
"""Of an entry's line."""
MOST_SIDE_LINE_BYTES: Final = 8_388_608
"""Of a side's line: a configuration of a megabyte, or a long list of servers,
each a third longer on the wire."""


class Hello(msgspec.Struct, tag='hello', array_like=True, frozen=True):
    """An entry introduces itself and the size of the server's engine."""

    entry: str
    slots: int
    memory_tokens: int


class AskTurn(msgspec.Struct, tag='ask', array_like=True, frozen=True):
    """A request would like to go to the server."""

    ask_id: str
    workspace: str
    new_tokens: int
    kept_tokens: int
    answer_tokens: int
    patience_seconds: float
    priority: int
    served_tokens: float
    part: str
    due_seconds: float
    others: tuple[tuple[str, int], ...] = ()
    """What the entry has had served to other workspaces lately, anywhere:
    those served since it last asked here."""
    fingerprint: str = ''
    """Stays the same when the caller sends the request again; empty if that is
    not known."""
    ends_seconds: float = 0
    """How long its caller waits for the whole answer; 0 if that is unknown."""
    returned_seconds: float = 0
    """How long before the request was refused elsewhere, by ``due_seconds``
    reckoned already."""

    @property
    def left_seconds(self) -> float:
        """Tell how long its caller waits, as far as is known."""
        return self.ends_seconds or math.inf


class Begun(msgspec.Struct, tag='begun', array_like=True, frozen=True):
    """The first event of a request came."""

    ask_id: str


class Ended(msgspec.Struct, tag='ended', array_like=True, frozen=True):
    """A request is over, or its caller left before it was granted."""

    ask_id: str
    whole: bool = False
    """Its caller has all of the answer."""


class ServerStarted(
    msgspec.Struct, tag='started', array_like=True, frozen=True
):
    """Which start of the server its teller knows; see ``ServerStart``."""

    instance: str
    started_milliseconds: int | None
    revision: int
    cold_seconds: float = 0
    """How long the start stays cold by its entry in the list."""
    presumed_cold_seconds: float = 0
    """The same by what has happened to it."""
    cold_per_second: float = 0
    """Requests that it bears a second while cold; 0 for no bound."""


class TurnGranted(msgspec.Struct, tag='granted', array_like=True, frozen=True):
    """The request may be sent now."""

    ask_id: str


class TurnRefused(msgspec.Struct, tag='refused', array_like=True, frozen=True):
    """The request can't be served in time."""

    ask_id: str
    retry_after_seconds: float
    waited_seconds: float
    ahead_tokens: int
    returned_seconds: float = 0
    """How long before it had been refused here; 0 for the first time."""


class SideWord(msgspec.Struct, tag='load', array_like=True, frozen=True):
    """What the side tells every entry of its server, several times a second."""

    wait_seconds: float
    """Until a request that comes now would begin, for a slot too."""
    rate_tokens: float
    slots_left: int
    """For entries of a version before, while both run beside each other."""
    entries: int
    parts: tuple[str, ...]
    """Shared parts of what was granted since the last word."""
    mark: int
    """Of the start that all this is about; see ``ServerStart.mark``."""
    hold_seconds: float
    """How long the engine keeps a part after its last use."""


class Struck(msgspec.Struct, tag='struck', array_like=True, frozen=True):
    """Requests that ran at servers when these went down."""

    strikes: tuple[Strike, ...]


FromEntry = (
    Hello | AskTurn | Begun | Ended | Struck | ServerStarted | FromFollower
)
FromSide = (
    TurnGranted | TurnRefused | SideWord | Struck | ServerStarted | FromWatcher
)


def start_of(message: ServerStarted) -> ServerStart:
    """Read a start from the wire."""
    return ServerStart(
        message.instance,
        message.started_milliseconds,
        message.revision,
    )


def message_of(
    start: ServerStart,
    now: float,
    cold: ColdWord,
) -> ServerStarted:
    """Write a start for the wire.

    :param now: on the clock of the word.
    """
    return ServerStarted(
        start.instance,
        start.started_milliseconds,
        start.revision,
        max(0, cold.told_until_seconds - now),
        max(0, cold.presumed_until_seconds - now),
        cold.per_second,
    )


ENCODE: Final = msgspec.json.Encoder().encode
DECODE_FROM_ENTRY: Final = msgspec.json.Decoder(FromEntry).decode
DECODE_FROM_SIDE: Final = msgspec.json.Decoder(FromSide).decode
