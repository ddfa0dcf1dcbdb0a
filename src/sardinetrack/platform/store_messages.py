"""Decodes the responses of the platform's store.

Any writer may put any text into the store. What can't be decoded costs only the
object that it stands in: its former content is not used any longer, and the
other objects of a response stay as they are.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.platform.json_split import JsonCursor
from sardinetrack.store.api import Listing, StoreCounters, StoredObject

_AS_OF: Final = 'asOf'
_EMPTY: Final = b''
_UNKNOWN_REVISION: Final = -1


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Page(msgspec.Struct, rename='camel'):
    # Revision of the whole store, not of any object.
    as_of: int
    items: list[msgspec.Raw] = []
    truncated: bool = False


class _Change(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Changes(msgspec.Struct, rename='camel'):
    as_of: int
    events: list[_Change] = []


_PAGES: Final = JsonDecoder[_Page](_Page)
_CHANGES: Final = JsonDecoder[_Changes](_Changes)
_OBJECTS: Final = JsonDecoder[_Object](_Object)
_NAMES: Final = JsonDecoder[str](str)
_NUMBERS: Final = JsonDecoder[int](int)
_FLAGS: Final = JsonDecoder[bool](bool)


@dataclass(frozen=True, slots=True)
class Page:
    """A part of the objects of one kind."""

    listing: Listing
    truncated: bool
    """Whether others follow."""


class StoreReader:
    """Decodes objects, alone or many together."""

    def __init__(self, counters: StoreCounters) -> None:
        """Start to count.

        :param counters: of the client.
        """
        self._counters = counters

    def page(self, kind: str, body: bytes) -> Page:
        """Decode a page of a listing.

        :raises UnreadableError: it is no page.
        """
        try:
            page = _PAGES.decode(body)
        except UnreadableError:
            page = _split_page(body)
        found = self._objects(kind, page.as_of, page.items)
        return Page(Listing(page.as_of, tuple(found)), page.truncated)

    def changes(self, kind: str, body: bytes) -> Listing:
        """Decode the response to a watch.

        :raises UnreadableError: it is none.
        """
        try:
            changes = _CHANGES.decode(body)
        except UnreadableError:
            changes = _split_changes(body)
        found: list[StoredObject] = []
        for change in changes.events:
            decoded = self._objects(kind, changes.as_of, [change.object])
            found.extend(
                replace(one, deleted=change.removed) for one in decoded
            )
        return Listing(changes.as_of, tuple(found))

    def object(self, kind: str, body: bytes) -> StoredObject:
        """Decode one object.

        :raises UnreadableError: it has no readable name.
        """
        found = self._objects(kind, 0, [msgspec.Raw(body)])
        if not found:
            raise UnreadableError('an object without a readable name')
        return found[0]

    def _objects(
        self, kind: str, as_of: int, items: Sequence[msgspec.Raw]
    ) -> list[StoredObject]:
        """Decode each object separately.

        One without a readable name can't be an object that this client knows.
        """
        found: list[StoredObject] = []
        for raw in items:
            try:
                found.append(_stored_object(kind, _OBJECTS.decode(raw)))
            except UnreadableError:
                self._counters.unreadable += 1
                found.extend(_split_stored_object(kind, as_of, bytes(raw)))
        return found


def _stored_object(kind: str, decoded: _Object) -> StoredObject:
    metadata = decoded.metadata
    return StoredObject(
        f'{kind}/{metadata.name}', metadata.revision, bytes(decoded.spec)
    )


def _split_stored_object(
    kind: str, as_of: int, text: bytes
) -> list[StoredObject]:
    """Return an object of which a part can't be decoded, if it has a name.

    Without a readable revision it is as new as the response, and empty.
    """
    try:
        members, metadata = _object_parts(text)
        name = _NAMES.decode(metadata.get('name', _EMPTY))
    except UnreadableError:
        return []
    key = f'{kind}/{name}'
    try:
        revision = _NUMBERS.decode(metadata.get('revision', _EMPTY))
    except UnreadableError:
        return [StoredObject(key, as_of, _EMPTY)]
    return [StoredObject(key, revision, members.get('spec', _EMPTY))]


def _object_parts(text: bytes) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """Return the texts of an object's members, and those of its metadata."""
    members: dict[str, bytes] = {}
    metadata: dict[str, bytes] = {}
    cursor = JsonCursor(text)
    for key in cursor.members():
        if key == 'metadata':
            metadata = {name: cursor.value() for name in cursor.members()}
        elif key == 'spec':
            members[key] = cursor.value()
        else:
            cursor.skip()
    return members, metadata


def _split_page(body: bytes) -> _Page:
    page = _Page(_UNKNOWN_REVISION)
    cursor = JsonCursor(body)
    for key in cursor.members():
        if key == 'items':
            page.items = [msgspec.Raw(cursor.value()) for _ in cursor.items()]
        elif key == 'truncated':
            page.truncated = _FLAGS.decode(cursor.value())
        elif key == _AS_OF:
            page.as_of = _NUMBERS.decode(cursor.value())
        else:
            cursor.skip()
    _require_revision(page.as_of)
    return page


def _split_changes(body: bytes) -> _Changes:
    changes = _Changes(_UNKNOWN_REVISION)
    cursor = JsonCursor(body)
    for key in cursor.members():
        if key == 'events':
            changes.events = [_split_event(cursor) for _ in cursor.items()]
        elif key == _AS_OF:
            changes.as_of = _NUMBERS.decode(cursor.value())
        else:
            cursor.skip()
    _require_revision(changes.as_of)
    return changes


def _split_event(cursor: JsonCursor) -> _Change:
    change = _Change(msgspec.Raw(_EMPTY))
    for key in cursor.members():
        if key == 'object':
            change.object = msgspec.Raw(cursor.value())
        elif key == 'removed':
            change.removed = _FLAGS.decode(cursor.value())
        else:
            cursor.skip()
    return change


def _require_revision(revision: int) -> None:
    if revision == _UNKNOWN_REVISION:
        raise UnreadableError('a response without a revision')
