"""Messages between an instance that watches the store and those it tells."""

from __future__ import annotations

import msgspec

from sardinetrack.store.api import StoredObject


class FollowView(msgspec.Struct, tag='follow', array_like=True, frozen=True):
    """Tell me of the store from now on; all objects come first."""

    stamp_seconds: float
    """The follower's boot clock when it sent this."""


class StampView(msgspec.Struct, tag='stamp', array_like=True, frozen=True):
    """The follower's clock once more, for what is confirmed next."""

    stamp_seconds: float


class LeaveView(msgspec.Struct, tag='leave', array_like=True, frozen=True):
    """Tell me no more."""


class ToldObject(msgspec.Struct, array_like=True, frozen=True):
    """One object of the store, as the product's object API has it."""

    key: str
    version: int
    content: bytes
    deleted: bool


class ViewObjects(msgspec.Struct, tag='objects', array_like=True, frozen=True):
    """Objects under a prefix: all of them, or those that have changed."""

    prefix: str
    revision: int
    whole: bool
    objects: tuple[ToldObject, ...]


class ViewConfirmed(msgspec.Struct, tag='sure', array_like=True, frozen=True):
    """What was told under a prefix was whole at a time."""

    prefix: str
    confirmed_seconds: float
    """On the boot clock of the follower, never later than the truth."""


class ViewLost(msgspec.Struct, tag='lost', array_like=True, frozen=True):
    """The store does not answer here."""

    cause: str


FromFollower = FollowView | StampView | LeaveView
FromWatcher = ViewObjects | ViewConfirmed | ViewLost


def told(stored: StoredObject) -> ToldObject:
    """Write an object for the wire."""
    return ToldObject(
        stored.key,
        stored.version,
        stored.value,
        stored.deleted,
    )


def stored(message: ToldObject) -> StoredObject:
    """Read an object from the wire."""
    return StoredObject(
        message.key,
        message.version,
        message.content,
        message.deleted,
    )
