"""Types of the control links: hello, link, events, limits."""

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
    """The kind of process at the other end."""

    ENTRY = 'entry'
    SIDE = 'side'


class Hello(Struct, frozen=True):
    """Identity of a process; both ends send it while the link opens."""

    instance: str
    role: PeerRole
    incarnation: str
    """Differs for each start of the process."""
    failure_domain: str


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Timeouts and size limits of a link."""

    heartbeat_interval_seconds: float = 1.0
    """An end that has sent nothing for this time sends an empty frame."""
    heartbeat_timeout_seconds: float = 2.8
    """An end that has received nothing for this time closes the link."""
    open_timeout_seconds: float = 2.0
    max_frame_bytes: int = 4_000_000
    outbox_messages: int = 1024
    max_retry_seconds: float = 1.0


class Link(ABC):
    """One open control link."""

    @property
    @abstractmethod
    def peer(self) -> Hello:
        """The process at the other end."""

    @abstractmethod
    def post(self, message: LinkMessage) -> None:
        """Queue a message; never blocks.

        A full outbox closes the link: each message holds the complete state
        that it is about, and the newest state is sent again on the next link,
        so nothing is lost that is still needed. A message to a closed link is
        dropped for the same reason.
        """

    @abstractmethod
    def post_encoded(self, text: bytes) -> None:
        """Queue a message that ``messages.codec`` has encoded."""

    @abstractmethod
    def messages(self) -> AsyncIterator[LinkMessage]:
        """Yield messages until the link closes; an invalid frame closes it."""

    @abstractmethod
    def close(self) -> None:
        """Close immediately; posted messages may be lost."""


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

    The peer's next link may be up already: compare ``link`` before removing
    the peer's state, or let a ``LinkTable`` do so.
    """

    link: Link

    @property
    def peer(self) -> Hello:
        """The process that was at the other end."""
        return self.link.peer


LinkEvent = LinkUp | LinkMessageReceived | LinkDown
LinkEvents = MemoryObjectSendStream[LinkEvent]
