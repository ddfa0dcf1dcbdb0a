"""What a side knows of the streams that servers have begun."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.pool_versions import PoolVersions
from sardinetrack.topology.starts import UNKNOWN_START_HASH
from sardinetrack.topology.stream_origin import (
    MAX_STREAMS,
    StreamOrigin,
    StreamOrigins,
)
from sardinetrack.turns.entry_connection import EntryConnection
from sardinetrack.turns.messages import Begun
from sardinetrack.turns.origin_messages import (
    FindOrigin,
    OriginFound,
    OriginsConfirmed,
    StreamBegan,
    VersionsListed,
)


@dataclass(frozen=True, slots=True)
class _Beginning:
    """A stream whose start has not been confirmed yet."""

    entry: EntryConnection
    message: Begun


class StreamRecords:
    """Remembers which software began the streams that its entries report.

    An entry that is killed takes with it what it knows; its callers continue
    their streams at another one, which asks the sides. Each side hears of the
    streams at its own engine anyway, by the messages about permits.
    """

    def __init__(self, *, confirms: bool) -> None:
        """Start without records.

        :param confirms: the engine is polled for its start.
        """
        self._origins = StreamOrigins()
        self._versions = PoolVersions()
        self._confirms = confirms
        self._unconfirmed: list[_Beginning] = []
        self._polled = 0
        """How many of them began before the last poll."""
        self._deferred: list[tuple[EntryConnection, FindOrigin]] = []

    def __len__(self) -> int:
        """Count the streams that are remembered."""
        return len(self._origins)

    def connected(self, entry: EntryConnection) -> None:
        """Send an entry the versions, if it understands the message."""
        if entry.asks_origins:
            entry.send(VersionsListed(self._versions.ages(boot_clock())))

    def begun(self, entry: EntryConnection, message: Begun) -> None:
        """Record a stream at the side's own engine.

        Where engines restart under their ids, the entry may take a new start
        for the former one, so a report of the engine has to confirm it.
        """
        if not message.version:
            return
        beginning = _Beginning(entry, message)
        if message.start_hash == UNKNOWN_START_HASH:
            self._record_begun(message)
        elif not self._confirms:
            self._confirm([beginning])
        elif len(self._unconfirmed) < MAX_STREAMS:
            self._unconfirmed.append(beginning)

    def engine_polled(self) -> None:
        """Note which streams have begun before a poll of the engine."""
        self._polled = len(self._unconfirmed)

    def engine_reported(self, start_hash: int) -> None:
        """Confirm the streams that began before the poll.

        :param start_hash: of the start that has reported.
        """
        polled = self._unconfirmed[: self._polled]
        self._unconfirmed = self._unconfirmed[self._polled :]
        self._polled = 0
        self._confirm(
            [one for one in polled if one.message.start_hash == start_hash]
        )
        deferred = list(self._deferred)
        self._deferred.clear()
        for entry, message in deferred:
            self.find(entry, message)

    def published(self, message: StreamBegan) -> None:
        """Record a stream that an entry reports to several sides."""
        self._record(message.request_id, message.pool, message.version)

    def find(self, entry: EntryConnection, message: FindOrigin) -> None:
        """Tell an entry what began a stream, once that is certain."""
        origin = self._origins.find(boot_clock(), message.request_id)
        if origin is None:
            if self._is_unconfirmed(message.request_id):
                self._deferred.append((entry, message))
                return
            origin = StreamOrigin('', '')
        entry.send(OriginFound(message.request_id, origin.pool, origin.version))

    def versions_listed(
        self, message: VersionsListed, others: Collection[EntryConnection]
    ) -> None:
        """Merge an entry's versions, and pass on what is new.

        :param others: all other entries.
        """
        now = boot_clock()
        if not self._versions.merge(now, message.ages):
            return
        merged = VersionsListed(self._versions.ages(now))
        for entry in others:
            if entry.asks_origins:
                entry.send(merged)

    def _record(self, request_id: str, pool: str, version: str) -> None:
        origin = StreamOrigin(pool, version)
        self._origins.record(boot_clock(), request_id, origin)

    def _record_begun(self, message: Begun) -> None:
        self._record(_request_id(message), message.pool, message.version)

    def _confirm(self, beginnings: list[_Beginning]) -> None:
        by_entry: dict[EntryConnection, list[str]] = {}
        for beginning in beginnings:
            self._record_begun(beginning.message)
            permit_ids = by_entry.setdefault(beginning.entry, [])
            permit_ids.append(beginning.message.permit_id)
        for entry, confirmed in by_entry.items():
            if entry.asks_origins:
                entry.send(OriginsConfirmed(tuple(confirmed)))

    def _is_unconfirmed(self, request_id: str) -> bool:
        return any(
            _request_id(beginning.message) == request_id
            for beginning in self._unconfirmed
        )


def _request_id(message: Begun) -> str:
    return message.permit_id.rpartition('.')[0]
