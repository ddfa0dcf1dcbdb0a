"""JSON bodies of the platform's object API."""

from __future__ import annotations

from msgspec import Struct

from sardinetrack.store.api import Listing, StoredObject


class ObjectBody(Struct, frozen=True):
    """JSON form of an object; the value is its JSON text."""

    key: str
    version: int
    value: str = ''
    deleted: bool = False


class ListingBody(Struct, frozen=True):
    """JSON form of a listing."""

    revision: int
    objects: tuple[ObjectBody, ...]


class ConflictBody(Struct, frozen=True):
    """The stored object that made a conditional write fail."""

    current: ObjectBody | None


def object_body(stored: StoredObject) -> ObjectBody:
    """Convert an object to its JSON form."""
    return ObjectBody(
        stored.key,
        stored.version,
        stored.value.decode(),
        stored.deleted,
    )


def object_from_body(body: ObjectBody) -> StoredObject:
    """Convert an object from its JSON form."""
    return StoredObject(
        body.key,
        body.version,
        body.value.encode(),
        body.deleted,
    )


def listing_body(listing: Listing) -> ListingBody:
    """Convert a listing to its JSON form."""
    return ListingBody(
        listing.revision,
        tuple(object_body(stored) for stored in listing.objects),
    )


def listing_from_body(body: ListingBody) -> Listing:
    """Convert a listing from its JSON form."""
    return Listing(
        body.revision,
        tuple(object_from_body(stored) for stored in body.objects),
    )
