"""Edits the catalogue in the platform's store for an operator."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from sardinetrack.catalogue.api import CATALOGUE_PREFIX
from sardinetrack.catalogue.coverage import complete_update, update_from_listing
from sardinetrack.catalogue.parse import (
    EncodedCatalogueEntry,
    parse_stored_entry,
)
from sardinetrack.catalogue.problems import InvalidCatalogueEntryError
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.errors.problem import ValidationProblem
from sardinetrack.messages.api import ConfigObject
from sardinetrack.store.api import (
    ConflictError,
    Listing,
    Platform,
    PlatformError,
    StoredObject,
    UncertainError,
)

_NO_VERSION: Final = 0
_MAX_ATTEMPTS: Final = 4
_NO_RESPONSE: Final = 'the response was lost at every attempt'


@dataclass(frozen=True, slots=True)
class EditResult:
    """Result of an edit."""

    key: str
    version: int
    """Version that has to become active; 0 when nothing had to be done."""
    changed: bool


class EditConflictError(Exception):
    """Another writer changed the object first; nothing was overwritten."""

    def __init__(
        self,
        key: str,
        expected_version: int,
        current: StoredObject | None,
    ) -> None:
        """Create the error.

        :param expected_version: the version that the edit was based on.
        :param current: the object that is stored now; ``None`` if there is
            none.
        """
        self.key = key
        self.expected_version = expected_version
        self.current = current
        self.current_version = current.version if current else _NO_VERSION
        super().__init__(
            f'{key}: the edit is based on version {expected_version}, '
            + f'but version {self.current_version} is current',
        )


class CatalogueEditor:
    """Reads catalogue entries and writes them by conditional updates."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def list(self) -> Listing:
        """Read all catalogue entries."""
        return await self._platform.list(CATALOGUE_PREFIX)

    async def show(self, key: str) -> StoredObject | None:
        """Read one catalogue entry."""
        return await self._platform.get(key)

    async def apply(
        self,
        catalogue_entry: EncodedCatalogueEntry,
        *,
        expected_version: int | None = None,
    ) -> EditResult:
        """Create or replace a catalogue entry.

        :param expected_version: the version that the operator edited, 0 for
            none; by default the current one.
        :return: the edit; unchanged when the same text is already stored.
        :raises InvalidCatalogueEntryError: the catalogue entry can't become
            active.
        :raises EditConflictError: another version is stored.
        :raises PlatformError: the platform failed; after ``UncertainError`` the
            edit may have been made, after any other error it was not.
        """
        listing = await self.list()
        _check_acceptable(catalogue_entry, listing)
        current = _find(listing, catalogue_entry.key)
        base_version = _check_expected_version(
            catalogue_entry.key, current, expected_version
        )
        if current is not None and current.value == catalogue_entry.value:
            return EditResult(
                catalogue_entry.key, current.version, changed=False
            )
        return await self._write(catalogue_entry, base_version)

    async def remove(
        self,
        key: str,
        *,
        expected_version: int | None = None,
    ) -> EditResult:
        """Delete a catalogue entry; raises as ``apply`` does."""
        current = await self.show(key)
        base_version = _check_expected_version(key, current, expected_version)
        if current is None:
            return EditResult(key, _NO_VERSION, changed=False)
        version = await self._delete(key, base_version)
        return EditResult(key, version, changed=True)

    async def _write(
        self, catalogue_entry: EncodedCatalogueEntry, base_version: int
    ) -> EditResult:
        stored = await self._try_write(catalogue_entry, base_version)
        attempts = 1
        with _errors_as_uncertain():
            while stored is None and attempts < _MAX_ATTEMPTS:
                stored = await self._try_write(catalogue_entry, base_version)
                attempts += 1
        if stored is None:
            raise UncertainError(_NO_RESPONSE)
        return EditResult(catalogue_entry.key, stored.version, changed=True)

    async def _try_write(
        self,
        catalogue_entry: EncodedCatalogueEntry,
        base_version: int,
    ) -> StoredObject | None:
        try:
            return await self._platform.put(
                catalogue_entry.key,
                catalogue_entry.value,
                expected_version=base_version,
            )
        except UncertainError:
            current = _find(await self._read_back(), catalogue_entry.key)
        except ConflictError as error:
            current = error.current
        return _written_object(catalogue_entry, base_version, current)

    async def _delete(self, key: str, base_version: int) -> int:
        version = await self._try_delete(key, base_version)
        attempts = 1
        with _errors_as_uncertain():
            while version is None and attempts < _MAX_ATTEMPTS:
                version = await self._try_delete(key, base_version)
                attempts += 1
        if version is None:
            raise UncertainError(_NO_RESPONSE)
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
            raise EditConflictError(key, base_version, current)
        return None

    async def _read_back(self) -> Listing:
        with _errors_as_uncertain():
            return await self.list()


@contextmanager
def _errors_as_uncertain() -> Iterator[None]:
    # The first write may still arrive: a later call that was rejected does not
    # mean that nothing was or will be written.
    try:
        yield
    except PlatformError as error:
        raise UncertainError(str(error)) from error


def _written_object(
    catalogue_entry: EncodedCatalogueEntry,
    base_version: int,
    current: StoredObject | None,
) -> StoredObject | None:
    # Either the write whose response was lost was made, or nothing changed and
    # it is safe to write again under the same condition, or another write came
    # first.
    if current is not None and current.value == catalogue_entry.value:
        return current
    version = current.version if current else _NO_VERSION
    if version != base_version:
        raise EditConflictError(catalogue_entry.key, base_version, current)
    return None


def _find(listing: Listing, key: str) -> StoredObject | None:
    found = (stored for stored in listing.objects if stored.key == key)
    return next(found, None)


def _check_expected_version(
    key: str,
    current: StoredObject | None,
    expected_version: int | None,
) -> int:
    version = current.version if current else _NO_VERSION
    if expected_version not in {None, version}:
        raise EditConflictError(key, expected_version or _NO_VERSION, current)
    return version


def _check_acceptable(
    catalogue_entry: EncodedCatalogueEntry, listing: Listing
) -> None:
    """Raise for a catalogue entry that would be rejected, even in part."""
    parse_stored_entry(catalogue_entry.key, catalogue_entry.value)
    view = CatalogueView()
    view.apply(update_from_listing(0, listing))
    version = listing.revision + 1
    change = ConfigObject(
        catalogue_entry.key,
        version,
        catalogue_entry.value.decode(),
        deleted=False,
    )
    view.apply(complete_update(listing.revision, version, (change,)))
    for rejected in view.rejected():
        if rejected.key == catalogue_entry.key:
            problems = [
                ValidationProblem('', reason) for reason in rejected.reasons
            ]
            raise InvalidCatalogueEntryError(catalogue_entry.key, problems)
