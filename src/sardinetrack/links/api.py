"""Types of the control links: hello, link, events, bounds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from anyio.streams.memory import MemoryObjectSendStream
from msgspec import Struct

from sardinetrack.messages.api import LinkMessage

LINK_PATH: Final = '/peer/v1/link'
STATUS_PATH: Final = '/peer/v1/status'


class PeerRole(StrEnum):
    """What kind of process is at the other end."""

    ENTRY = 'entry'
    SIDE = 'side'


class Hello(Struct, frozen=True):
    """Who a process is; both ends tell it while the link opens."""

    instance: str
    role: PeerRole
    incarnation: str
    """Differs for each start of the process."""
    failure_domain: str


@dataclass(frozen=True, slots=True)
class LinkBounds:
    """What a link may hold and how long it may stay silent."""

    beat_seconds: float = 1.0
    """An end that has sent nothing for so long sends an empty frame."""
    silence_seconds: float = 2.8
    """An end that has heard nothing for so long closes the link."""
    open_seconds: float = 2.0
    max_frame_bytes: int = 4_000_000
    outbox_messages: int = 1024
    longest_retry_seconds: float = 1.0


class Link(ABC):
    """One open control link."""

    @property
    @abstractmethod
    def peer(self) -> Hello:
        """The process at the other end."""

    @abstractmethod
    def post(self, message: LinkMessage) -> None:
        """Queue a message; never blocks.

        A full outbox closes the link: every message states the whole of what
        it speaks of, and the newest state is sent again on the next link, so
        nothing is lost that still matters. A message to a closed link is
        dropped for the same reason.
        """

    @abstractmethod
    def post_encoded(self, text: bytes) -> None:
        """Queue a message that ``messages.codec`` has already encoded."""

    @abstractmethod
    def messages(self) -> AsyncIterator[LinkMessage]:
        """Yield messages until the link closes; a bad frame closes it."""

    @abstractmethod
    def close(self) -> None:
        """Close at once; posted messages may be lost."""


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link has opened."""

    link: Link

    @property
    def peer(self) -> Hello:
        """The process at the other end."""
        return self.link.peer


@dataclass(frozen=True, slots=True)
class LinkMessageReceived:
    """A message has arrived."""

    link: Link
    message: LinkMessage

    @property
    def peer(self) -> Hello:
        """The process that sent it."""
        return self.link.peer


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link has closed; no event of this link follows.

    The peer's next link may be up already: compare ``link`` before forgetting
    the peer, or let a ``LinkTable`` do so.
    """

    link: Link

    @property
    def peer(self) -> Hello:
        """The process that was at the other end."""
        return self.link.peer


LinkEvent = LinkUp | LinkMessageReceived | LinkDown
LinkEvents = MemoryObjectSendStream[LinkEvent]
