"""Messages on the control links; each is validated when it is decoded.

A control link is one WebSocket with JSON text frames, opened by an entry to
a side or to another entry. Messages on one link arrive in order or not at
all. Every message carries complete state, no differences, so that the next
one makes up for a lost one.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class SidePhase(StrEnum):
    """Whether a side accepts new requests."""

    SERVING = 'serving'
    DRAINING = 'draining'


class BidRow(Struct, frozen=True, array_like=True):
    """Queued requests of one workspace at one entry."""

    workspace: str
    tag: float
    """Virtual start time: service received per weight, in cost units."""
    waiting: int
    hint_cost: float
    """Expected cost of the first request in the queue, per weight."""


class Bids(Struct, frozen=True, tag='bids'):
    """All bids of an entry for a side's pool; replaces its earlier bids."""

    pool: str
    grants_seen: int
    """Highest grant number of this side whose charge the tags include."""
    rows: tuple[BidRow, ...]
    """Lowest tags first; rows with the highest tags may be omitted."""


class Grant(Struct, frozen=True, tag='grant'):
    """A slot that a side reserves for an entry, which chooses the request."""

    number: int
    """Counts the grants on each link."""
    valid_seconds: float
    workspace: str = ''
    """Workspace whose bid won; it is chosen if its tag is still near the
    lowest."""


class Decline(Struct, frozen=True, tag='decline'):
    """The entry has no queued request for the grant."""

    number: int


class SideLoad(Struct, frozen=True, tag='load'):
    """Load report of a side; sent on changes, batched, and with responses."""

    incarnation: str
    phase: SidePhase
    limit: int
    running: int
    free: int
    """Slots that neither run a request nor are reserved."""
    virtual_time: float = 0
    """Tag of the last grant; an entry without state starts from it."""


class ServiceRow(Struct, frozen=True, array_like=True):
    """Service received by one workspace, and its requests, at one entry."""

    workspace: str
    service: float
    """Settled cost per weight since the entry started; never decreases."""
    running: int
    waiting: int
    reported_settled_service: float = 0
    """Settled tag of the workspace, as the sender computes it for the fleet."""
    outstanding: float = 0
    """Charge per weight for running requests, not settled yet."""


class ServiceReport(Struct, frozen=True, tag='service'):
    """An entry's ledger of one pool; rows replace earlier rows."""

    entry: str
    incarnation: str
    pool: str
    rows: tuple[ServiceRow, ...]
    synced: bool = True
    """False until the sender has received a peer's report since its start."""


class ConfigObject(Struct, frozen=True, array_like=True):
    """One catalogue object with its version."""

    key: str
    version: int
    value: str
    deleted: bool


class ConfigUpdate(Struct, frozen=True, tag='config'):
    """Catalogue objects that the receiver may lack."""

    revision: int
    objects: tuple[ConfigObject, ...]


class ConfigDigest(Struct, frozen=True, tag='config_digest'):
    """Revision and hash of the sender's configuration."""

    revision: int
    digest: str
    """Hash over all keys and versions."""


class Strike(Struct, frozen=True, tag='strike'):
    """Record that a request was running when its backend server crashed."""

    fingerprint: str
    backend_server: str
    expires_in_seconds: float
    number: int = 0
    """Counts the strikes of the sender, which waits for ``StrikeNoted``; 0 if
    no acknowledgement is expected."""


class StrikeNoted(Struct, frozen=True, tag='strike_noted'):
    """Acknowledges all strikes of the receiver up to a number."""

    number: int


LinkMessage = (
    Bids
    | Grant
    | Decline
    | SideLoad
    | ServiceReport
    | ConfigUpdate
    | ConfigDigest
    | Strike
    | StrikeNoted
)
