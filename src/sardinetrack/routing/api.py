"""Types of an entry's decisions: events in, effects out.

Times are seconds of a monotonic clock that the caller owns. Decision objects
do no I/O; randomness is passed in when they are built.
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
class Work:
    """A caller's request that waits for a slot."""

    request_id: str
    workspace: str
    pool: str
    hint_cost: float
    deadline_seconds: float
    """Monotonic time after which nobody waits for the start."""
    idempotent: bool
    """May be run again elsewhere when an attempt's outcome is unknown."""
    fingerprint: str = ''
    """Hash of what the server would run; equal for a resend."""
    affinity: int = 0
    """Hash of the prompt's prefix; 0 for none."""


@dataclass(frozen=True, slots=True)
class SideInfo:
    """A side that an entry may use."""

    side: str
    pool: str
    backend_server: str
    failure_domain: str
    address: str


class AttemptEnd(StrEnum):
    """How an attempt ended, as far as the entry could find out."""

    WHOLE = 'whole'
    """The caller got the whole answer."""
    NOT_STARTED = 'not_started'
    """The side said, bindingly, that it did not run."""
    FAILED = 'failed'
    """It ran and failed: connection to the backend server cut, crash."""
    UNKNOWN = 'unknown'
    """Nobody can tell whether it ran."""
    ABANDONED = 'abandoned'
    """The caller went away; the attempt was cancelled."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to a side now."""

    request_id: str
    attempt_id: str
    side: str
    grant: int
    tag: float
    wait_seconds: float
    reason: str
    """For the log line of the decision."""
    suspect: bool = False
    """It was running when another backend server crashed."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the caller with an error."""

    request_id: str
    kind: ErrorKind
    retry_after_seconds: float | None = None
    detail: str = ''
    strike: int = 0
    """Number of a strike that other entries must know of first; 0 for none."""


@dataclass(frozen=True, slots=True)
class SendToSide:
    """Send a message over the link to a side."""

    side: str
    message: Bids | Decline


@dataclass(frozen=True, slots=True)
class SendToEntries:
    """Send a message to the linked entries."""

    message: ServiceReport | Strike


class HoldReason(StrEnum):
    """Why a request that is first in its line is not sent."""

    NO_SLOT = 'no_slot'
    """No side has told of a free slot."""
    AT_LIMIT = 'at_limit'
    """Its workspace runs as many requests as it may."""
    AVOIDS = 'avoids'
    """It waits for a side other than those that failed it."""
    SUSPECT = 'suspect'
    """It was there at a crash, and where it may go runs another such one."""
    CRASH_NEWS = 'crash_news'
    """Its answer waits until other entries know of a crash."""
    CRASH_UNKNOWN = 'crash_unknown'
    """Its answer goes out although other entries may not know of a crash."""


@dataclass(frozen=True, slots=True)
class Held:
    """Tell why a request still waits; nothing is sent."""

    request_id: str
    reason: HoldReason
    avoided: tuple[str, ...]
    """Sides that failed it."""
    waits_for: tuple[str, ...]
    """Other sides that it counts on, or the entries that may not know."""
    slots: int
    """Of these sides together, as they last told."""


EntryEffect = Dispatch | Reject | SendToSide | SendToEntries | Held


class Routing(ABC):
    """Owns the waiting work of one entry."""

    @abstractmethod
    def configure(
        self,
        now: float,
        workspaces: Sequence[Workspace],
        pools: Sequence[Pool],
    ) -> Sequence[EntryEffect]:
        """Put a configuration in force."""

    @abstractmethod
    def side_up(self, now: float, info: SideInfo) -> Sequence[EntryEffect]:
        """Use a side whose link is up."""

    @abstractmethod
    def side_down(self, now: float, side: str) -> Sequence[EntryEffect]:
        """Use a side no longer: its link broke or it is leaving."""

    @abstractmethod
    def load(
        self,
        now: float,
        side: str,
        load: SideLoad,
    ) -> Sequence[EntryEffect]:
        """Take note of what a side can take."""

    @abstractmethod
    def submit(self, now: float, work: Work) -> Sequence[EntryEffect]:
        """Dispatch, queue or reject a new request."""

    @abstractmethod
    def cancel(self, now: float, request_id: str) -> Sequence[EntryEffect]:
        """Forget a waiting request whose caller went away."""

    @abstractmethod
    def grant(
        self,
        now: float,
        side: str,
        grant: Grant,
    ) -> Sequence[EntryEffect]:
        """Use a slot that a side set aside, or decline it."""

    @abstractmethod
    def progress(
        self,
        now: float,
        attempt_id: str,
        cost: float,
    ) -> Sequence[EntryEffect]:
        """True up the charge of a running attempt to its cost so far."""

    @abstractmethod
    def ended(
        self,
        now: float,
        attempt_id: str,
        end: AttemptEnd,
        *,
        cost: float,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        """Settle an attempt; may queue the request again or reject it.

        :param cost: cost units received, 0 when it did not start.
        :param answered: some of the answer already went to the caller, so
            that the request can't be tried again.
        """

    @abstractmethod
    def peer_service(
        self,
        now: float,
        report: ServiceReport,
    ) -> Sequence[EntryEffect]:
        """Take in what workspaces received through another entry."""

    @abstractmethod
    def peer_linked(self, now: float, entry: str) -> Sequence[Strike]:
        """Note that another entry is linked.

        :return: the strikes that hold, to be told to it.
        """

    @abstractmethod
    def peer_lost(self, now: float, entry: str) -> Sequence[EntryEffect]:
        """Note that another entry is gone or cut off."""

    @abstractmethod
    def strike(self, now: float, strike: Strike) -> Sequence[EntryEffect]:
        """Note that a request crashed a backend server."""

    @abstractmethod
    def strike_noted(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[EntryEffect]:
        """Note that another entry knows of the strikes up to a number."""

    @abstractmethod
    def answer(self, now: float, reject: Reject) -> Sequence[EntryEffect]:
        """Let an error answer go, or hold it until other entries may know."""

    @abstractmethod
    def tick(self, now: float) -> Sequence[EntryEffect]:
        """Expire deadlines; refresh bids and reports that are due."""

    @abstractmethod
    def bids_for(self, side: str) -> Bids:
        """Compute the present bids for a side, to ride on a dispatch."""
