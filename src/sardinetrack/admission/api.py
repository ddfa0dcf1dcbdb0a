"""Interface of a side's admission: events in, effects out.

Every method of an admission object takes the time first, in seconds of a
monotonic clock that the caller owns, and returns effects for the caller to
carry out. Admission objects do no I/O.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from sardinetrack.messages.api import Bids, Grant, SideLoad
from sardinetrack.messages.run import AttemptStatus


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the side; the daemon keeps its body."""

    attempt_id: str
    entry: str
    workspace: str
    tag: float
    hint_cost: float
    grant: int
    """Number of its grant; 0 if it was sent without one, for any free slot."""
    wait_seconds: float
    fingerprint: str = ''
    suspect: bool = False
    """It was running when another backend server crashed."""


class RefusalReason(StrEnum):
    """Why a side did not start a request; a refused attempt never starts."""

    BUSY = 'busy'
    DRAINING = 'draining'
    EXPIRED = 'expired'
    TOMBSTONED = 'tombstoned'
    DUPLICATE = 'duplicate'
    NO_LEASE = 'no_lease'
    RESTING = 'resting'
    """The backend server asked for no requests for some time."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Send the request to the backend server now."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Respond to the entry that the request was not started."""

    attempt_id: str
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel the running request at the backend server."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to an entry."""

    entry: str
    grant: Grant


@dataclass(frozen=True, slots=True)
class BroadcastLoad:
    """Send the load to every linked entry, soon and batched."""


AdmissionEffect = (
    StartRequest | RefuseRequest | CancelRequest | SendGrant | BroadcastLoad
)


class Admission(ABC):
    """Allocates the slots of one backend server."""

    @abstractmethod
    def arrive(self, now: float, arrival: Arrival) -> Sequence[AdmissionEffect]:
        """Start, queue or refuse a request that reached the side."""

    @abstractmethod
    def update_bids(
        self,
        now: float,
        entry: str,
        bids: Bids,
    ) -> Sequence[AdmissionEffect]:
        """Replace the bids of an entry."""

    @abstractmethod
    def decline(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[AdmissionEffect]:
        """Reclaim the slot of a grant that an entry declined."""

    @abstractmethod
    def entry_disconnected(
        self, now: float, entry: str
    ) -> Sequence[AdmissionEffect]:
        """Drop the bids and grants of an entry whose link broke."""

    @abstractmethod
    def finished(
        self,
        now: float,
        attempt_id: str,
        *,
        is_complete: bool,
        cost: float,
        stopped: bool = False,
    ) -> Sequence[AdmissionEffect]:
        """Free the slot of a request that ended.

        :param is_complete: the backend server's response was complete.
        :param stopped: it was not complete because the side cancelled it.
        :param cost: what it cost, in cost units of the pool.
        """

    @abstractmethod
    def resolve_status(
        self,
        now: float,
        attempt_id: str,
        *,
        cancel: bool,
    ) -> tuple[AttemptStatus, Sequence[AdmissionEffect]]:
        """Return the status of an attempt, for a status query.

        An attempt that has not started is tombstoned and never starts.

        :param cancel: cancel the attempt if it is running.
        """

    @abstractmethod
    def resize(self, now: float, limit: int) -> Sequence[AdmissionEffect]:
        """Change how many requests may run concurrently."""

    @abstractmethod
    def begin_rest(self, now: float) -> Sequence[AdmissionEffect]:
        """Start nothing until ``end_rest``; running requests go on."""

    @abstractmethod
    def end_rest(self, now: float) -> Sequence[AdmissionEffect]:
        """Start requests again."""

    @abstractmethod
    def drain(self, now: float) -> Sequence[AdmissionEffect]:
        """Accept no new requests; running requests finish."""

    @abstractmethod
    def end_drain(self, now: float) -> Sequence[AdmissionEffect]:
        """Accept requests again."""

    @abstractmethod
    def tick(self, now: float) -> Sequence[AdmissionEffect]:
        """Expire grants, queued requests and old records."""

    @abstractmethod
    def load(self) -> SideLoad:
        """Return the load report of the side."""
