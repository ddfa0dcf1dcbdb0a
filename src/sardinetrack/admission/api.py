"""Types of a side's decisions: events in, effects out.

Every method of a decision object takes the time first, in seconds of a
monotonic clock that the caller owns, and returns effects for the caller to
carry out. Decision objects do no I/O.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from sardinetrack.messages.api import Bids, Grant, SideLoad
from sardinetrack.messages.run import Fate


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the side; its body is held by the daemon."""

    attempt_id: str
    entry: str
    workspace: str
    tag: float
    hint_cost: float
    grant: int
    """0 for a request sent on the chance of a free slot."""
    wait_seconds: float
    fingerprint: str = ''
    suspect: bool = False
    """It was running when another backend server crashed."""


class RefusalReason(StrEnum):
    """Why a side did not start an arrival; it never will."""

    BUSY = 'busy'
    DRAINING = 'draining'
    EXPIRED = 'expired'
    TOMBSTONED = 'tombstoned'
    DUPLICATE = 'duplicate'
    NO_LEASE = 'no_lease'


@dataclass(frozen=True, slots=True)
class Start:
    """Hand the request to the backend server now."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the entry that the request was not started."""

    attempt_id: str
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Stop:
    """Cancel the running request at the backend server."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to an entry."""

    entry: str
    grant: Grant


@dataclass(frozen=True, slots=True)
class Announce:
    """Send the load to every linked entry, soon and batched."""


SideEffect = Start | Refuse | Stop | SendGrant | Announce


class Admission(ABC):
    """Owns the slots of one backend server."""

    @abstractmethod
    def arrive(self, now: float, arrival: Arrival) -> Sequence[SideEffect]:
        """Start, hold back or refuse a request that reached the side."""

    @abstractmethod
    def bids(
        self,
        now: float,
        entry: str,
        bids: Bids,
    ) -> Sequence[SideEffect]:
        """Replace the bids of an entry."""

    @abstractmethod
    def decline(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[SideEffect]:
        """Take back a slot that an entry has no use for."""

    @abstractmethod
    def entry_lost(self, now: float, entry: str) -> Sequence[SideEffect]:
        """Drop the bids and grants of an entry whose link broke."""

    @abstractmethod
    def finished(
        self,
        now: float,
        attempt_id: str,
        *,
        whole: bool,
        cost: float,
        stopped: bool = False,
    ) -> Sequence[SideEffect]:
        """Free the slot of a request that ended.

        :param whole: the backend server's answer was complete.
        :param stopped: it was not whole, and the side itself had ended it.
        :param cost: what it cost, in cost units of the pool.
        """

    @abstractmethod
    def query(
        self,
        now: float,
        attempt_id: str,
        *,
        cancel: bool,
    ) -> tuple[Fate, Sequence[SideEffect]]:
        """Tell the fate of an attempt.

        One that is not started never will be after this answer.
        """

    @abstractmethod
    def resize(self, now: float, limit: int) -> Sequence[SideEffect]:
        """Change how many requests may run at once."""

    @abstractmethod
    def drain(self, now: float) -> Sequence[SideEffect]:
        """Take no new work; running work finishes."""

    @abstractmethod
    def tick(self, now: float) -> Sequence[SideEffect]:
        """Expire grants, held requests and old records."""

    @abstractmethod
    def load(self) -> SideLoad:
        """Describe what the side can take now."""
