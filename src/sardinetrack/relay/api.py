"""Requests and responses in the relay, and the protocol adapter."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from types import MappingProxyType

from sardinetrack.placement.prompt import Prompt
from sardinetrack.relay.held_bytes import BodyHold
from sardinetrack.topology.servers import BackendServer

Headers = Iterable[tuple[bytes, bytes]]
"""Header names in lower case and their values, in order of arrival; they can be
iterated several times."""


@dataclass(slots=True)
class CallerRequest:
    """One complete request as it arrived."""

    request_id: str
    """Identifies it in logs and messages; bounded in length."""
    method: bytes
    target: bytes
    host: str
    path: str
    forwarded: bytes
    """The header lines to forward to the server, each with its line end."""
    body: bytes | bytearray
    arrived_seconds: float
    """On the clock of the event loop."""
    max_wait_seconds: float | None
    """The caller's time-out; ``None`` if the request states none."""
    api_key: str | None
    prompt: Prompt
    last_event_id: int | None = None
    """The caller already has the events up to this number."""
    resumes: str | None = None
    """The request that brought the first event of the stream that this one
    continues, by its id; ``None`` if it continues none."""
    closes_connection: bool = False
    """The caller asked to close the connection after the response."""
    body_hold: BodyHold | None = None
    """Of the memory of head and body; released when the request has ended."""
    size_bytes: int = 0
    """Memory of head and body, which the hold is for."""
    head_bytes: int = 0
    """Memory of the head, with the copy that is sent to a server."""
    long_id: str | None = None
    """The id as the caller sent it, if ``request_id`` is derived from it."""

    @property
    def sent_id(self) -> str:
        """The id as the caller sent it, which servers respond with."""
        return self.request_id if self.long_id is None else self.long_id

    def drop_content(self) -> None:
        """Drop what only a server needs, as the request is not served."""
        self.forwarded = b''
        self.target = b''
        self.body = b''

    @property
    def continues_stream(self) -> bool:
        """Whether the caller already has a part of the stream."""
        return self.last_event_id is not None

    @property
    def stream_id(self) -> str:
        """The request that began the stream, if the caller says which."""
        if self.continues_stream and self.resumes:
            return self.resumes
        return self.request_id


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of a server's response."""

    status: int
    forwarded: bytes
    """The header lines to forward to the caller."""
    request_id: str
    not_run: bool
    """The response proves that the server did not run the request."""
    is_signed: bool
    """The response has the server's stamp header and no content encoding."""
    running: int = -1
    """Running and queued requests at the server; -1 if not reported."""
    idle_seconds: float | None = None
    """How long the server keeps an idle connection open."""
    misdirected: bool = False
    """A server other than the addressed one runs at that address."""
    leaving: bool = False
    """The addressed server says that it leaves."""
    rest_seconds: float | None = None
    """How long the server, which turns the request away, wants no more."""
    slowness: float = 1
    """Factor by which work takes longer at the server now than usually."""


class KvMoveResult(Enum):
    """The result of a call that copies the KV cache of a running request."""

    COPIED = auto()
    NO_RUN = auto()
    """The engine runs no such request."""
    NO_ROOM = auto()
    """Not copied; if the run was to stop, it has, and kept its memory."""
    BUSY = auto()
    """Not begun: the engine is still at an earlier call."""
    PENDING = auto()
    """No response in time; the engine may still do it."""
    FAILED = auto()
    """Not copied; whether the run has stopped is unknown."""
    NOT_SENT = auto()
    """No connection was established."""


@dataclass(frozen=True, slots=True)
class KvMoveReply:
    """What an engine responds to a call that copies a KV cache."""

    result: KvMoveResult
    handle: str | None = None
    """Names the copy, or the memory that the engine has kept."""
    cause: str = ''
    """For the log."""


@dataclass(frozen=True, slots=True)
class KvSource:
    """A copy of the KV cache of a request, from which it can continue."""

    server: BackendServer
    """The engine that gave the handle."""
    handle: str


@dataclass(slots=True)
class AttemptContext:
    """What one attempt adds to the request."""

    server: BackendServer
    max_wait_seconds: float
    workspace: str | None
    last_event_id: int | None = field(default=None)
    kv_source: KvSource | None = None
    """The request continues from this copy, as the same run."""


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a server reports of itself to an entry."""

    started_milliseconds: int | None = None
    """Unix time of its start, if it reports one."""
    leaves_seconds: float | None = None
    """How long it still serves, if it leaves and knows it."""
    instance: str | None = None
    """Its id, if it was asked for and given."""
    events: Mapping[str, int] = field(
        default_factory=lambda: MappingProxyType({})
    )
    """Made so far, by the id of the running request."""


class ProtocolAdapter(ABC):
    """Translates between the relay and the headers of callers and servers."""

    @abstractmethod
    def parse_request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        now: float,
    ) -> CallerRequest:
        """Parse the head of a request; its body follows.

        :raises RequestError: the head is not valid.
        """

    @abstractmethod
    def encode_request(
        self, call: CallerRequest, sending: AttemptContext
    ) -> bytes:
        """Serialise the head of the request for a server; its body follows."""

    @abstractmethod
    def encode_kv_move(
        self,
        request_id: str,
        source: BackendServer,
        destination: BackendServer,
        *,
        last: bool,
    ) -> bytes:
        """Serialise a call that copies the KV cache of a running request.

        :param last: the run stops first, and its stream closes.
        """

    @abstractmethod
    def parse_kv_move(self, status: int, body: bytes) -> KvMoveReply:
        """Parse the response to such a call."""

    @abstractmethod
    def encode_kv_release(self, copy: KvSource) -> bytes:
        """Serialise a call that frees a copy at both engines."""

    @abstractmethod
    def encode_report_call(self, server: BackendServer) -> bytes:
        """Serialise a call that a server responds to with its own report."""

    @abstractmethod
    def encode_health_call(self, server: BackendServer, path: str) -> bytes:
        """Serialise a call for a server's health."""

    @abstractmethod
    def parse_instance(self, headers: Headers) -> str | None:
        """Parse the id of the server that responds to a call for its health.

        :return: ``None`` if the response doesn't name it.
        """

    @abstractmethod
    def parse_report(self, status: int, body: bytes) -> ServerReport | None:
        """Parse the report of a server.

        :return: ``None`` if it can't be read.
        """

    @abstractmethod
    def parse_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Parse the head of a server's response."""

    @abstractmethod
    def contains_response(self, body: bytes) -> bool:
        """Return whether the head of a server's response stands in a body.

        A server may stop within a body and send another response, or the same
        one again; its bytes would complete the first.
        """

    @abstractmethod
    def own_headers(self, call: CallerRequest) -> bytes:
        """Serialise the header lines of every response of the entry itself."""
