"""An object store in memory; it does no I/O and reads no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from sardinetrack.store.api import (
    MAX_VALUE_BYTES,
    ConflictError,
    ListedInstance,
    Listing,
    RefusedError,
    StoredObject,
    WatchLostError,
)

_HISTORY_EVENTS: Final = 4096
_FIRST_REVISION: Final = 0


@dataclass(frozen=True, slots=True)
class _Event:
    at_seconds: float
    stored: StoredObject


@dataclass(frozen=True, slots=True)
class _Roster:
    """The list of instances as it stood from a time on."""

    since_seconds: float
    rows: tuple[ListedInstance, ...]


class MemoryStore:
    """Objects with versions, a bounded log of changes, listed instances."""

    def __init__(self, *, history_events: int = _HISTORY_EVENTS) -> None:
        """Start empty.

        :param history_events: changes that a watch can look back on.
        """
        self._objects: dict[str, StoredObject] = {}
        self._events: deque[_Event] = deque()
        self._history_events = history_events
        self._forgotten_revision = _FIRST_REVISION
        self._rosters: deque[_Roster] = deque()
        self.revision = _FIRST_REVISION

    def get(self, key: str) -> StoredObject | None:
        """Read one object, ``None`` when there is none."""
        return self._objects.get(key)

    def put(
        self,
        now: float,
        key: str,
        value: bytes,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally; see ``Platform.put``.

        :raises ConflictError: another version stands there.
        :raises RefusedError: the value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise RefusedError('the value is too large')
        self._expect(key, expected_version)
        stored = StoredObject(key, self.revision + 1, value)
        self._objects[key] = stored
        self._record(now, stored)
        return stored

    def delete(self, now: float, key: str, expected_version: int) -> int:
        """Delete conditionally; raises as ``put`` does.

        :return: the version of the deletion.
        """
        self._expect(key, expected_version)
        if self._objects.pop(key, None) is not None:
            gone = StoredObject(key, self.revision + 1, b'', deleted=True)
            self._record(now, gone)
        return self.revision

    def list(self, prefix: str) -> Listing:
        """Read all objects whose key starts with the prefix."""
        found = tuple(
            self._objects[key]
            for key in sorted(self._objects)
            if key.startswith(prefix)
        )
        return Listing(self.revision, found)

    def changes(
        self,
        now: float,
        prefix: str,
        after_revision: int,
        lag_seconds: float = 0,
    ) -> Listing:
        """Read the newest change of each key since a revision.

        :param lag_seconds: changes younger than this are not shown yet.
        :raises WatchLostError: the log does not reach back that far.
        """
        if not self._forgotten_revision <= after_revision <= self.revision:
            raise WatchLostError(str(after_revision))
        newest: dict[str, StoredObject] = {}
        shown_revision = after_revision
        for stored in self._since(after_revision, now - lag_seconds):
            shown_revision = max(shown_revision, stored.version)
            if stored.key.startswith(prefix):
                newest.setdefault(stored.key, stored)
        return Listing(shown_revision, tuple(reversed(newest.values())))

    def set_instance(self, now: float, row: ListedInstance) -> None:
        """Enter or replace a row of the list of instances."""
        self._replace_row(now, row.instance, (row,))

    def remove_instance(self, now: float, instance: str) -> None:
        """Take a row off the list of instances."""
        self._replace_row(now, instance, ())

    def instances(
        self,
        now: float,
        lag_seconds: float = 0,
    ) -> tuple[ListedInstance, ...]:
        """Read the list of instances as it stood a lag ago."""
        shown: tuple[ListedInstance, ...] = ()
        for roster in self._rosters:
            if roster.since_seconds + lag_seconds > now:
                break
            shown = roster.rows
        return shown

    def _since(
        self,
        after_revision: int,
        until_seconds: float,
    ) -> Iterator[StoredObject]:
        # From the newest back: a watcher that is up to date costs one step.
        for event in reversed(self._events):
            if event.stored.version <= after_revision:
                return
            if event.at_seconds <= until_seconds:
                yield event.stored

    def _expect(self, key: str, expected_version: int | None) -> None:
        current = self._objects.get(key)
        version = current.version if current else 0
        if expected_version not in {None, version}:
            raise ConflictError(current)

    def _record(self, now: float, stored: StoredObject) -> None:
        self.revision = stored.version
        self._events.append(_Event(now, stored))
        if len(self._events) > self._history_events:
            oldest = self._events.popleft()
            self._forgotten_revision = oldest.stored.version

    def _replace_row(
        self,
        now: float,
        instance: str,
        rows: tuple[ListedInstance, ...],
    ) -> None:
        latest = self._rosters[-1].rows if self._rosters else ()
        kept = tuple(row for row in latest if row.instance != instance)
        self._rosters.append(_Roster(now, kept + rows))
        if len(self._rosters) > self._history_events:
            self._rosters.popleft()
