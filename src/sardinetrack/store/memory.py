"""An object store in memory; it does no I/O and reads no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from sardinetrack.store.api import (
    MAX_VALUE_BYTES,
    CallRejectedError,
    ConflictError,
    ListedInstance,
    Listing,
    StoredObject,
    WatchLostError,
)

_HISTORY_EVENTS: Final = 4096
_INITIAL_REVISION: Final = 0


@dataclass(frozen=True, slots=True)
class _RecordedChange:
    at_seconds: float
    stored: StoredObject


@dataclass(frozen=True, slots=True)
class _InstanceList:
    """The list of instances from a moment on."""

    since_seconds: float
    records: tuple[ListedInstance, ...]


class MemoryStore:
    """Objects with versions, a bounded log of changes, a list of instances."""

    def __init__(self, *, history_events: int = _HISTORY_EVENTS) -> None:
        """Create an empty store.

        :param history_events: number of changes kept for watches.
        """
        self._objects: dict[str, StoredObject] = {}
        self._changes: deque[_RecordedChange] = deque()
        self._history_events = history_events
        self._discarded_revision = _INITIAL_REVISION
        self._instance_lists: deque[_InstanceList] = deque()
        self.revision = _INITIAL_REVISION

    def get(self, key: str) -> StoredObject | None:
        """Read one object; ``None`` if it does not exist."""
        return self._objects.get(key)

    def put(
        self,
        now: float,
        key: str,
        value: bytes,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally; see ``Platform.put``.

        :raises ConflictError: the object has another version.
        :raises CallRejectedError: the value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise CallRejectedError('the value is too large')
        self._check_version(key, expected_version)
        stored = StoredObject(key, self.revision + 1, value)
        self._objects[key] = stored
        self._append_change(now, stored)
        return stored

    def delete(self, now: float, key: str, expected_version: int) -> int:
        """Delete conditionally; raises as ``put`` does.

        :return: the version of the deletion.
        """
        self._check_version(key, expected_version)
        if self._objects.pop(key, None) is not None:
            deletion = StoredObject(key, self.revision + 1, b'', deleted=True)
            self._append_change(now, deletion)
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
        """Read the newest change of each key after a revision.

        :param lag_seconds: changes younger than this are not returned yet.
        :raises WatchLostError: the log does not reach back that far.
        """
        if not self._discarded_revision <= after_revision <= self.revision:
            raise WatchLostError(str(after_revision))
        newest: dict[str, StoredObject] = {}
        shown_revision = after_revision
        for stored in self._since(after_revision, now - lag_seconds):
            shown_revision = max(shown_revision, stored.version)
            if stored.key.startswith(prefix):
                newest.setdefault(stored.key, stored)
        return Listing(shown_revision, tuple(reversed(newest.values())))

    def set_instance(self, now: float, instance_record: ListedInstance) -> None:
        """Add a record to the list of instances, or replace it."""
        self._replace_record(now, instance_record.instance, (instance_record,))

    def remove_instance(self, now: float, instance: str) -> None:
        """Remove a record from the list of instances."""
        self._replace_record(now, instance, ())

    def instances(
        self,
        now: float,
        lag_seconds: float = 0,
    ) -> tuple[ListedInstance, ...]:
        """Read the list of instances as it was a lag ago."""
        listed: tuple[ListedInstance, ...] = ()
        for instance_list in self._instance_lists:
            if instance_list.since_seconds + lag_seconds > now:
                break
            listed = instance_list.records
        return listed

    def _since(
        self,
        after_revision: int,
        until_seconds: float,
    ) -> Iterator[StoredObject]:
        # Iterates from the newest change back: a watch that is up to date
        # costs one step.
        for change in reversed(self._changes):
            if change.stored.version <= after_revision:
                return
            if change.at_seconds <= until_seconds:
                yield change.stored

    def _check_version(self, key: str, expected_version: int | None) -> None:
        current = self._objects.get(key)
        version = current.version if current else 0
        if expected_version not in {None, version}:
            raise ConflictError(current)

    def _append_change(self, now: float, stored: StoredObject) -> None:
        self.revision = stored.version
        self._changes.append(_RecordedChange(now, stored))
        if len(self._changes) > self._history_events:
            oldest = self._changes.popleft()
            self._discarded_revision = oldest.stored.version

    def _replace_record(
        self,
        now: float,
        instance: str,
        records: tuple[ListedInstance, ...],
    ) -> None:
        latest = (
            self._instance_lists[-1].records if self._instance_lists else ()
        )
        others = tuple(
            instance_record
            for instance_record in latest
            if instance_record.instance != instance
        )
        self._instance_lists.append(_InstanceList(now, others + records))
        if len(self._instance_lists) > self._history_events:
            self._instance_lists.popleft()
