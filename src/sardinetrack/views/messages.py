"""Messages between an instance that watches the store and its subscribers."""

from __future__ import annotations

import msgspec

from sardinetrack.store.api import StoredObject


class SubscribeView(msgspec.Struct, tag='follow', array_like=True, frozen=True):
    """Subscribes to a view of the store; all objects are sent first."""

    stamp_seconds: float
    """The subscriber's boot clock when it sent this."""


class ClockView(msgspec.Struct, tag='stamp', array_like=True, frozen=True):
    """Updates the subscriber's clock, for the next confirmations."""

    stamp_seconds: float


class UnsubscribeView(
    msgspec.Struct, tag='leave', array_like=True, frozen=True
):
    """Ends the subscription."""


class ViewObject(msgspec.Struct, array_like=True, frozen=True):
    """One object of the store, as in the product's object API."""

    key: str
    version: int
    content: bytes
    deleted: bool


class ViewObjects(msgspec.Struct, tag='objects', array_like=True, frozen=True):
    """Objects under a prefix: all of them, or those that have changed."""

    prefix: str
    revision: int
    complete: bool
    objects: tuple[ViewObject, ...]


class ViewConfirmed(msgspec.Struct, tag='sure', array_like=True, frozen=True):
    """The view of a prefix was complete at a time."""

    prefix: str
    confirmed_seconds: float
    """By the boot clock of the subscriber; never later than the true time."""


class ViewLost(msgspec.Struct, tag='lost', array_like=True, frozen=True):
    """The store does not respond to the watching instance."""

    cause: str


FromFollower = SubscribeView | ClockView | UnsubscribeView
FromWatcher = ViewObjects | ViewConfirmed | ViewLost


def encode_object(stored: StoredObject) -> ViewObject:
    """Encode an object as a message."""
    return ViewObject(
        stored.key,
        stored.version,
        stored.value,
        stored.deleted,
    )


def decode_object(message: ViewObject) -> StoredObject:
    """Decode an object from its message."""
    return StoredObject(
        message.key,
        message.version,
        message.content,
        message.deleted,
    )
