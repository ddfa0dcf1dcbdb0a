"""What a side knows of the streams that servers have begun."""

from __future__ import annotations

from collections.abc import Collection

from sardinetrack.topology.pool_versions import PoolVersions
from sardinetrack.topology.stream_origin import StreamOrigin, StreamOrigins
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.entry_connection import EntryConnection
from sardinetrack.turns.messages import (
    Begun,
    FindOrigin,
    OriginFound,
    StreamBegan,
    VersionsListed,
)


class StreamRecords:
    """Remembers which software began the streams that its entries report.

    An entry that is killed takes with it what it knows; its callers continue
    their streams at another one, which asks the sides. Each side hears of the
    streams at its own engine anyway, by the messages about permits.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._origins = StreamOrigins()
        self._versions = PoolVersions()

    def __len__(self) -> int:
        """Count the streams that are remembered."""
        return len(self._origins)

    def connected(self, entry: EntryConnection) -> None:
        """Send an entry the versions, if it understands the message."""
        if entry.asks_origins:
            entry.send(VersionsListed(self._versions.ages(loop_now())))

    def begun(self, message: Begun) -> None:
        """Record a stream at the side's own engine."""
        if message.version:
            request_id = message.permit_id.rpartition('.')[0]
            self._record(request_id, message.pool, message.version)

    def published(self, message: StreamBegan) -> None:
        """Record a stream that an entry reports to several sides."""
        self._record(message.request_id, message.pool, message.version)

    def find(self, entry: EntryConnection, message: FindOrigin) -> None:
        """Tell an entry what began a stream."""
        origin = self._origins.find(loop_now(), message.request_id)
        if origin is None:
            origin = StreamOrigin('', '')
        entry.send(OriginFound(message.request_id, origin.pool, origin.version))

    def versions_listed(
        self, message: VersionsListed, others: Collection[EntryConnection]
    ) -> None:
        """Merge an entry's versions, and pass on what is new.

        :param others: all other entries.
        """
        now = loop_now()
        if not self._versions.merge(now, message.ages):
            return
        merged = VersionsListed(self._versions.ages(now))
        for entry in others:
            if entry.asks_origins:
                entry.send(merged)

    def _record(self, request_id: str, pool: str, version: str) -> None:
        origin = StreamOrigin(pool, version)
        self._origins.record(loop_now(), request_id, origin)
