"""What is known of one catalogue key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.catalogue.parse import parse_entry
from sardinetrack.catalogue.problems import InvalidEntryError
from sardinetrack.messages.api import ConfigObject

_NEVER: Final = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a key, read and validated."""

    origin: ConfigObject
    entry: Workspace | Pool | None = None
    reasons: tuple[str, ...] = ()
    """Why it is refused; empty for a good entry or a deletion."""

    @property
    def version(self) -> int:
        """The version that the platform gave it."""
        return self.origin.version


def read_change(origin: ConfigObject) -> Change:
    """Validate a change."""
    if origin.deleted:
        return Change(origin)
    try:
        entry = parse_entry(origin.key, origin.value.encode())
    except InvalidEntryError as error:
        return Change(origin, reasons=error.reasons)
    return Change(origin, entry)


def absence(key: str, revision: int) -> Change:
    """Express that nothing stood at a key at a revision."""
    return Change(ConfigObject(key, revision, '', deleted=True))


class KeyRecord:
    """The newest change of a key, and the newest that was not refused.

    Each is the greatest version of its sort that has been seen, so that the
    record does not depend on the order in which changes arrive.
    """

    def __init__(self, before: Change) -> None:
        """Start with what stood there before the first change."""
        self.latest = before
        self.settled = before
        self.digest = _NEVER
        """Hash of key and versions, 0 for a key that is not live."""

    def knows(self, version: int) -> bool:
        """Tell whether a change of this version can't add anything."""
        newest_known = version == self.latest.version
        return newest_known or version <= self.settled.version

    def merge(self, change: Change) -> bool:
        """Take in a change, however late it comes; tell if it mattered."""
        newer = change.version > self.latest.version
        better = not change.reasons and change.version > self.settled.version
        if newer:
            self.latest = change
        if better:
            self.settled = change
        if newer or better:
            self.digest = self._digest()
        return newer or better

    @property
    def in_force(self) -> Workspace | Pool | None:
        """The entry in force, ``None`` after a deletion."""
        return self.settled.entry

    @property
    def live(self) -> bool:
        """Tell whether the platform holds the key."""
        return not self.latest.origin.deleted

    @property
    def in_force_version(self) -> int:
        """Version of the entry in force, 0 for none."""
        return self.settled.version if self.settled.entry else _NEVER

    def _digest(self) -> int:
        if not self.live:
            return _NEVER
        newest = self.latest.origin
        text = f'{newest.key} {newest.version} {self.in_force_version}'
        return xxh3_64_intdigest(text.encode())

    def origins(self) -> tuple[ConfigObject, ...]:
        """All that another node needs to build the same record."""
        if self.settled is self.latest:
            return (self.latest.origin,)
        return (self.settled.origin, self.latest.origin)
