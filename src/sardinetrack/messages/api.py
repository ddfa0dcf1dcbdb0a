"""Messages on the control links; each is validated when it is decoded.

A control link is one WebSocket with JSON text frames, opened by an entry to
a side or to another entry. Messages on one link arrive in order or not at
all. Every message states the whole of what it speaks of, so that a lost one
is mended by the next.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class SidePhase(StrEnum):
    """Whether a side takes new work."""

    SERVING = 'serving'
    DRAINING = 'draining'


class BidRow(Struct, frozen=True, array_like=True):
    """Waiting work of one workspace at one entry."""

    workspace: str
    tag: float
    """Virtual time: service received per weight, in cost units."""
    waiting: int
    hint_cost: float
    """Expected cost of the head request, per weight."""


class Bids(Struct, frozen=True, tag='bids'):
    """All bids of an entry for the pool of a side; replaces earlier ones."""

    pool: str
    grants_seen: int
    """Highest grant number of this side whose charge the tags include."""
    rows: tuple[BidRow, ...]
    """Lowest tags first; may be cut short."""


class Grant(Struct, frozen=True, tag='grant'):
    """A slot of a side set aside for an entry, which picks the request."""

    number: int
    """Counts up for each link."""
    valid_seconds: float
    workspace: str = ''
    """Whose bid earned it; taken if its tag is still near the lowest."""


class Decline(Struct, frozen=True, tag='decline'):
    """The entry has nothing left for the grant."""

    number: int


class SideLoad(Struct, frozen=True, tag='load'):
    """What a side can take; sent on change, batched, and with answers."""

    incarnation: str
    phase: SidePhase
    limit: int
    running: int
    free: int
    """Slots that neither run nor are set aside."""
    virtual_time: float = 0
    """Tag of the last grant; an entry that starts empty begins there."""


class ServiceRow(Struct, frozen=True, array_like=True):
    """What one workspace received and holds through one entry."""

    workspace: str
    service: float
    """Settled cost per weight since the entry started; never falls."""
    running: int
    waiting: int
    level: float = 0
    """Settled tag of the workspace in the sender's view of the fleet."""
    outstanding: float = 0
    """Charged per weight for running requests, not settled yet."""


class ServiceReport(Struct, frozen=True, tag='service'):
    """An entry's ledger of one pool; rows replace earlier rows."""

    entry: str
    incarnation: str
    pool: str
    rows: tuple[ServiceRow, ...]
    synced: bool = True
    """False while the sender has heard no peer since it started."""


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
    """The sender's configuration in brief."""

    revision: int
    digest: str
    """Hash over all keys and versions."""


class Strike(Struct, frozen=True, tag='strike'):
    """A request was running when its backend server crashed."""

    fingerprint: str
    backend_server: str
    expires_in_seconds: float
    number: int = 0
    """Counts up at its sender, which waits for it to be noted; 0 for none."""


class StrikeNoted(Struct, frozen=True, tag='strike_noted'):
    """The sender acts on all strikes up to a number of the receiver's."""

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
