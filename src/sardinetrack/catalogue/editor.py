"""An operator's hand on the catalogue in the platform."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from sardinetrack.catalogue.api import CATALOGUE_PREFIX
from sardinetrack.catalogue.coverage import covering, platform_update
from sardinetrack.catalogue.parse import WrittenEntry, parse_entry
from sardinetrack.catalogue.problems import InvalidEntryError
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.errors.problem import Problem
from sardinetrack.messages.api import ConfigObject
from sardinetrack.store.api import (
    ConflictError,
    Listing,
    Platform,
    PlatformError,
    StoredObject,
    UncertainError,
)

_NOTHING: Final = 0
_ATTEMPTS: Final = 4
_NO_REPLY: Final = 'every reply was lost'


@dataclass(frozen=True, slots=True)
class Edit:
    """What an edit came to."""

    key: str
    version: int
    """Version that must be in force; 0 when nothing had to be done."""
    changed: bool


class LostRaceError(Exception):
    """Somebody else changed the entry first; nothing was overwritten."""

    def __init__(
        self,
        key: str,
        expected_version: int,
        current: StoredObject | None,
    ) -> None:
        """Remember both versions.

        :param expected_version: the one that the edit was based on.
        :param current: what stands there now, ``None`` for nothing.
        """
        self.key = key
        self.expected_version = expected_version
        self.current = current
        self.current_version = current.version if current else _NOTHING
        super().__init__(
            f'{key}: the edit is based on version {expected_version}, '
            + f'now version {self.current_version} stands there',
        )


class CatalogueEditor:
    """Reads and writes entries by conditional updates."""

    def __init__(self, platform: Platform) -> None:
        """Remember the platform."""
        self._platform = platform

    async def list(self) -> Listing:
        """Read all entries."""
        return await self._platform.list(CATALOGUE_PREFIX)

    async def show(self, key: str) -> StoredObject | None:
        """Read one entry."""
        return await self._platform.get(key)

    async def apply(
        self,
        entry: WrittenEntry,
        *,
        expected_version: int | None = None,
    ) -> Edit:
        """Create or replace an entry.

        :param expected_version: the version that the operator edited, 0 for
            none; by default the one that stands there now.
        :return: the edit; unchanged when the same text stands there already.
        :raises InvalidEntryError: the entry can't come into force.
        :raises LostRaceError: another version stands there.
        :raises PlatformError: the platform failed; after ``UncertainError``
            the edit may have been made, after any other it was not.
        """
        listing = await self.list()
        _check(entry, listing)
        current = _find(listing, entry.key)
        base_version = _base(entry.key, current, expected_version)
        if current is not None and current.value == entry.value:
            return Edit(entry.key, current.version, changed=False)
        return await self._write(entry, base_version)

    async def remove(
        self,
        key: str,
        *,
        expected_version: int | None = None,
    ) -> Edit:
        """Delete an entry; raises as ``apply`` does."""
        current = await self.show(key)
        base_version = _base(key, current, expected_version)
        if current is None:
            return Edit(key, _NOTHING, changed=False)
        version = await self._delete(key, base_version)
        return Edit(key, version, changed=True)

    async def _write(self, entry: WrittenEntry, base_version: int) -> Edit:
        stored = await self._try_write(entry, base_version)
        attempts = 1
        with _uncertain_now():
            while stored is None and attempts < _ATTEMPTS:
                stored = await self._try_write(entry, base_version)
                attempts += 1
        if stored is None:
            raise UncertainError(_NO_REPLY)
        return Edit(entry.key, stored.version, changed=True)

    async def _try_write(
        self,
        entry: WrittenEntry,
        base_version: int,
    ) -> StoredObject | None:
        try:
            return await self._platform.put(
                entry.key,
                entry.value,
                expected_version=base_version,
            )
        except UncertainError:
            current = _find(await self._read_back(), entry.key)
        except ConflictError as error:
            current = error.current
        return _settled(entry, base_version, current)

    async def _delete(self, key: str, base_version: int) -> int:
        version = await self._try_delete(key, base_version)
        attempts = 1
        with _uncertain_now():
            while version is None and attempts < _ATTEMPTS:
                version = await self._try_delete(key, base_version)
                attempts += 1
        if version is None:
            raise UncertainError(_NO_REPLY)
        return version

    async def _try_delete(self, key: str, base_version: int) -> int | None:
        try:
            return await self._platform.delete(
                key,
                expected_version=base_version,
            )
        except (UncertainError, ConflictError):
            listing = await self._read_back()
        current = _find(listing, key)
        if current is None:
            return listing.revision
        if current.version != base_version:
            raise LostRaceError(key, base_version, current)
        return None

    async def _read_back(self) -> Listing:
        with _uncertain_now():
            return await self.list()


@contextmanager
def _uncertain_now() -> Iterator[None]:
    # The first write may still be on its way: that a later call was refused
    # does not mean that nothing was or will be written.
    try:
        yield
    except PlatformError as error:
        raise UncertainError(str(error)) from error


def _settled(
    entry: WrittenEntry,
    base_version: int,
    current: StoredObject | None,
) -> StoredObject | None:
    # A write whose reply was lost stands there, or nothing changed and it is
    # safe to write again under the same condition, or another one came.
    if current is not None and current.value == entry.value:
        return current
    version = current.version if current else _NOTHING
    if version != base_version:
        raise LostRaceError(entry.key, base_version, current)
    return None


def _find(listing: Listing, key: str) -> StoredObject | None:
    found = (stored for stored in listing.objects if stored.key == key)
    return next(found, None)


def _base(
    key: str,
    current: StoredObject | None,
    expected_version: int | None,
) -> int:
    version = current.version if current else _NOTHING
    if expected_version not in {None, version}:
        raise LostRaceError(key, expected_version or _NOTHING, current)
    return version


def _check(entry: WrittenEntry, listing: Listing) -> None:
    """Refuse an entry that would be rejected, whole or in part."""
    parse_entry(entry.key, entry.value)
    view = CatalogueView()
    view.apply(platform_update(0, listing))
    version = listing.revision + 1
    row = ConfigObject(entry.key, version, entry.value.decode(), deleted=False)
    view.apply(covering(listing.revision, version, (row,)))
    for rejected in view.rejected():
        if rejected.key == entry.key:
            problems = [Problem('', reason) for reason in rejected.reasons]
            raise InvalidEntryError(entry.key, problems)
