"""What the relay knows of a request and of an answer, and who translates."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from sardinetrack.placement.prompt import Prompt
from sardinetrack.topology.servers import BackendServer

Headers = Sequence[tuple[bytes, bytes]]
"""Names in lower case, in the order of arrival."""


@dataclass(slots=True)
class Call:
    """One request as it arrived, whole."""

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    forwarded: bytes
    """The header lines that go on to the server, each with its line end."""
    body: bytes
    arrived_seconds: float
    """On the clock of the event loop."""
    patience_seconds: float | None
    """How long the caller waits, if it says so."""
    api_key: str | None
    prompt: Prompt
    after_event: int | None = None
    """The caller has the events up to this one."""
    closes: bool = False
    """The caller asked that the connection end with the answer."""


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """The head of a server's answer."""

    status: int
    forwarded: bytes
    """The header lines that go back to the caller."""
    request_id: str
    not_run: bool
    """The server proves that it did not run the request."""
    genuine: bool
    """It bears the server's signature and no encoding of the body."""
    running: int = -1
    """Requests at the server, waiting ones too; -1 if it does not say."""
    idle_seconds: float | None = None
    """How long the server keeps an idle connection."""
    misdirected: bool = False
    """Another server than the named one runs at that address."""


@dataclass(slots=True)
class Sending:
    """What an attempt adds to the call."""

    server: BackendServer
    patience_seconds: float
    workspace: str | None
    after_event: int | None = field(default=None)


class Dialect(ABC):
    """Translates between the relay and what callers and servers speak."""

    @abstractmethod
    def call(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        now: float,
    ) -> Call:
        """Read the head of a request; its body follows.

        :raises AnsweredError: the head is not one of a proper request.
        """

    @abstractmethod
    def request(self, call: Call, sending: Sending) -> bytes:
        """Write the request as a server gets it."""

    @abstractmethod
    def reply(self, status: int, headers: Headers) -> ReplyHead:
        """Read the head of a server's answer."""

    @abstractmethod
    def identity(self, call: Call) -> bytes:
        """Write the header lines that each answer of our own bears."""
