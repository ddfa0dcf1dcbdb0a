"""The known changes of one catalogue key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.catalogue.parse import parse_stored_entry
from sardinetrack.catalogue.problems import InvalidCatalogueEntryError
from sardinetrack.messages.api import ConfigObject

_NO_VERSION: Final = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a key, parsed and validated."""

    config_object: ConfigObject
    catalogue_entry: Workspace | Pool | None = None
    reasons: tuple[str, ...] = ()
    """Why it is rejected; empty for a valid change or a deletion."""

    @property
    def version(self) -> int:
        """The version that the platform assigned."""
        return self.config_object.version


def validate_change(config_object: ConfigObject) -> Change:
    """Validate a change."""
    if config_object.deleted:
        return Change(config_object)
    try:
        catalogue_entry = parse_stored_entry(
            config_object.key, config_object.value.encode()
        )
    except InvalidCatalogueEntryError as error:
        return Change(config_object, reasons=error.reasons)
    return Change(config_object, catalogue_entry)


def absent_at(key: str, revision: int) -> Change:
    """Return a change that states that a key did not exist at a revision."""
    return Change(ConfigObject(key, revision, '', deleted=True))


class KeyRecord:
    """The newest change of a key, and the newest valid one.

    Each is the greatest version of its kind received so far, so the record does
    not depend on the order in which changes arrive.
    """

    def __init__(self, initial: Change) -> None:
        """Create a record of a key before its first change.

        :param initial: the state of the key before that change.
        """
        self.latest = initial
        self.latest_valid = initial
        self.digest = _NO_VERSION
        """Hash of key and versions; 0 for a key that is not stored."""

    def includes(self, version: int) -> bool:
        """Whether a change of this version can't add anything."""
        is_latest = version == self.latest.version
        return is_latest or version <= self.latest_valid.version

    def merge(self, change: Change) -> bool:
        """Apply a change, however late; return whether it had an effect."""
        newer = change.version > self.latest.version
        newer_valid = (
            not change.reasons and change.version > self.latest_valid.version
        )
        if newer:
            self.latest = change
        if newer_valid:
            self.latest_valid = change
        if newer or newer_valid:
            self.digest = self._digest()
        return newer or newer_valid

    @property
    def active_entry(self) -> Workspace | Pool | None:
        """The active catalogue entry; ``None`` after a deletion."""
        return self.latest_valid.catalogue_entry

    @property
    def is_stored(self) -> bool:
        """Whether the key exists in the platform."""
        return not self.latest.config_object.deleted

    @property
    def active_version(self) -> int:
        """Version of the active catalogue entry; 0 for none."""
        return (
            self.latest_valid.version
            if self.latest_valid.catalogue_entry
            else _NO_VERSION
        )

    def _digest(self) -> int:
        if not self.is_stored:
            return _NO_VERSION
        stored = self.latest.config_object
        text = f'{stored.key} {stored.version} {self.active_version}'
        return xxh3_64_intdigest(text.encode())

    def config_objects(self) -> tuple[ConfigObject, ...]:
        """All that another instance needs to build the same record."""
        if self.latest_valid is self.latest:
            return (self.latest.config_object,)
        return (self.latest_valid.config_object, self.latest.config_object)
