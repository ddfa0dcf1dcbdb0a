"""JSON bodies of the platform's object API."""

from __future__ import annotations

from msgspec import Struct

from sardinetrack.store.api import Listing, StoredObject


class ObjectBody(Struct, frozen=True):
    """An object on the wire; the value is its JSON text."""

    key: str
    version: int
    value: str = ''
    deleted: bool = False


class ListingBody(Struct, frozen=True):
    """A listing on the wire."""

    revision: int
    objects: tuple[ObjectBody, ...]


class ConflictBody(Struct, frozen=True):
    """What stands there when a conditional write fails."""

    current: ObjectBody | None


def object_body(stored: StoredObject) -> ObjectBody:
    """Put an object on the wire."""
    return ObjectBody(
        stored.key,
        stored.version,
        stored.value.decode(),
        stored.deleted,
    )


def object_of(body: ObjectBody) -> StoredObject:
    """Take an object off the wire."""
    return StoredObject(
        body.key,
        body.version,
        body.value.encode(),
        body.deleted,
    )


def listing_body(listing: Listing) -> ListingBody:
    """Put a listing on the wire."""
    return ListingBody(
        listing.revision,
        tuple(object_body(stored) for stored in listing.objects),
    )


def listing_of(body: ListingBody) -> Listing:
    """Take a listing off the wire."""
    return Listing(
        body.revision,
        tuple(object_of(stored) for stored in body.objects),
    )
