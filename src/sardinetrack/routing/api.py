"""Interface of an entry's routing decisions: events in, effects out.

Times are seconds of a monotonic clock that the calling code reads. Decision
objects do no I/O; their random number generator is passed to the constructor.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.errors.api import ErrorKind
from sardinetrack.messages.api import (
    Bids,
    Decline,
    Grant,
    ServiceReport,
    SideLoad,
    Strike,
)


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request that waits for a slot."""

    request_id: str
    workspace: str
    pool: str
    hint_cost: float
    deadline_seconds: float
    """Monotonic time after which the request is no longer started."""
    idempotent: bool
    """May run again at another side if an attempt's outcome is unknown."""
    fingerprint: str = ''
    """Hash of what the server would run; equal for a retry by the caller."""
    affinity: int = 0
    """Hash of the prompt's prefix; 0 for no prefix."""


@dataclass(frozen=True, slots=True)
class SideInfo:
    """A side to which an entry may send requests."""

    side: str
    pool: str
    backend_server: str
    failure_domain: str
    address: str


class AttemptOutcome(StrEnum):
    """How an attempt ended, as far as the entry could determine."""

    COMPLETED = 'whole'
    """The caller got the complete response."""
    NOT_STARTED = 'not_started'
    """The side confirmed that the request did not run and never will."""
    FAILED = 'failed'
    """It ran and failed: the connection broke or the backend server crashed."""
    UNKNOWN = 'unknown'
    """It can't be determined whether the request ran."""
    ABANDONED = 'abandoned'
    """The caller disconnected; the attempt was cancelled."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to a side immediately."""

    request_id: str
    attempt_id: str
    side: str
    grant: int
    tag: float
    wait_seconds: float
    reason: str
    """Why the request was sent, for the decision's log line."""
    suspect: bool = False
    """The request was running when another backend server crashed."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Respond to the caller with an error."""

    request_id: str
    kind: ErrorKind
    retry_after_seconds: float | None = None
    detail: str = ''
    strike: int = 0
    """Number of the strike that linked entries must acknowledge before the
    response is sent; 0 for none."""


@dataclass(frozen=True, slots=True)
class SendToSide:
    """Send a message over the link to a side."""

    side: str
    message: Bids | Decline


@dataclass(frozen=True, slots=True)
class SendToEntries:
    """Send a message to all linked entries."""

    message: ServiceReport | Strike


class WaitReason(StrEnum):
    """Why the first request of a queue, or an error response, is delayed."""

    NO_SLOT = 'no_slot'
    """No side has reported a free slot."""
    AT_LIMIT = 'at_limit'
    """Its workspace has reached its concurrency limit."""
    AVOIDS = 'avoids'
    """It waits for a side other than those at which it failed."""
    SUSPECT = 'suspect'
    """It is a suspect, and every eligible side runs another one."""
    CRASH_NEWS = 'crash_news'
    """Its error response waits until other entries acknowledge the strike."""
    CRASH_UNKNOWN = 'crash_unknown'
    """Its error response was sent before other entries acknowledged the
    strike."""


@dataclass(frozen=True, slots=True)
class WaitNotice:
    """Log why a request still waits; nothing is sent."""

    request_id: str
    reason: WaitReason
    avoided: tuple[str, ...]
    """Sides at which it failed."""
    waits_for: tuple[str, ...]
    """Other sides that could take it, or entries that have not acknowledged
    the strike."""
    slots: int
    """Total slots of these sides, as last reported."""


EntryEffect = Dispatch | Reject | SendToSide | SendToEntries | WaitNotice


class RoutingPolicy(ABC):
    """Routes the requests of one entry and owns its queues."""

    @abstractmethod
    def configure(
        self,
        now: float,
        workspaces: Sequence[Workspace],
        pools: Sequence[Pool],
    ) -> Sequence[EntryEffect]:
        """Apply a configuration."""

    @abstractmethod
    def side_connected(
        self, now: float, info: SideInfo
    ) -> Sequence[EntryEffect]:
        """Start using a side whose link is up."""

    @abstractmethod
    def side_disconnected(self, now: float, side: str) -> Sequence[EntryEffect]:
        """Stop using a side: its link broke or it is draining."""

    @abstractmethod
    def update_side_load(
        self,
        now: float,
        side: str,
        load: SideLoad,
    ) -> Sequence[EntryEffect]:
        """Apply a load report of a side."""

    @abstractmethod
    def submit(self, now: float, work: RoutedRequest) -> Sequence[EntryEffect]:
        """Dispatch, queue or reject a new request."""

    @abstractmethod
    def cancel(self, now: float, request_id: str) -> Sequence[EntryEffect]:
        """Remove a queued request whose caller disconnected."""

    @abstractmethod
    def grant(
        self,
        now: float,
        side: str,
        grant: Grant,
    ) -> Sequence[EntryEffect]:
        """Use a slot that a side granted, or decline the grant."""

    @abstractmethod
    def adjust_charge(
        self,
        now: float,
        attempt_id: str,
        cost: float,
    ) -> Sequence[EntryEffect]:
        """Adjust the charge of a running attempt to its cost so far."""

    @abstractmethod
    def settle_attempt(
        self,
        now: float,
        attempt_id: str,
        end: AttemptOutcome,
        *,
        cost: float,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        """Settle an attempt; may queue the request again or reject it.

        :param cost: cost units received, 0 when it did not start.
        :param answered: part of the response has already been sent to the
            caller, so that the request can't be retried.
        """

    @abstractmethod
    def apply_service_report(
        self,
        now: float,
        report: ServiceReport,
    ) -> Sequence[EntryEffect]:
        """Apply a report of the service that workspaces received elsewhere."""

    @abstractmethod
    def peer_linked(self, now: float, entry: str) -> Sequence[Strike]:
        """Handle a new link to another entry.

        :return: the active strikes, to be sent over the link.
        """

    @abstractmethod
    def peer_lost(self, now: float, entry: str) -> Sequence[EntryEffect]:
        """Handle the loss of the link to another entry."""

    @abstractmethod
    def apply_strike(self, now: float, strike: Strike) -> Sequence[EntryEffect]:
        """Record that a request was running when a backend server crashed."""

    @abstractmethod
    def strike_acknowledged(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[EntryEffect]:
        """Handle another entry's acknowledgement of strikes up to a number."""

    @abstractmethod
    def deliver_rejection(
        self, now: float, reject: Reject
    ) -> Sequence[EntryEffect]:
        """Return an error response, or delay it until peers have the strike."""

    @abstractmethod
    def tick(self, now: float) -> Sequence[EntryEffect]:
        """Reject overdue requests; refresh bids and reports that are due."""

    @abstractmethod
    def current_bids(self, side: str) -> Bids:
        """Return the current bids for a side, to be sent with a run request."""
