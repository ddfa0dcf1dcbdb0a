"""Finds the software that began a stream which a caller continues."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from contextlib import suppress
from enum import StrEnum
from typing import Final

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.meters import StreamMeters
from sardinetrack.relay.side_links import SideLinks, broadcast_sides
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.freshness import Freshness, boot_clock
from sardinetrack.topology.servers import BackendServer, ServerList
from sardinetrack.topology.stream_origin import StreamOrigin, StreamOrigins
from sardinetrack.turns.origin_lookup import OriginLookup
from sardinetrack.turns.origin_messages import StreamBegan, VersionsListed
from sardinetrack.turns.side_link import SideLink
from sardinetrack.turns.side_state import OriginListener

LOOKUP_SECONDS: Final = 0.25
"""Longest wait for the sides; a live one responds within milliseconds."""


class OriginSource(StrEnum):
    """How the origin of a stream was found; the label of its metric."""

    ENTRY = 'entry'
    """This entry sent its first event."""
    SIDE = 'side'
    ONLY_VERSION = 'only_version'
    """All servers that may have begun it had one version."""
    UNKNOWN = 'unknown'
    """The request is refused."""


class StreamBeginning(OriginListener):
    """The first event of a stream, and whether its origin is certain."""

    def __init__(
        self,
        directory: StreamDirectory,
        call: CallerRequest,
        server: BackendServer,
        origin: StreamOrigin,
    ) -> None:
        """Wait for the confirmation.

        :param server: that sent the event.
        :param origin: what began the stream, maybe another server.
        """
        self.is_certain = False
        self._directory = directory
        self._call = call
        self._server = server
        self._origin = origin

    def confirmed(self, *, side_knows: bool) -> None:
        """Record the origin of the stream."""
        self.is_certain = True
        self._directory.began(self._call, self._origin, side_knows=side_knows)

    def is_doubtful(self, servers: ServerList) -> bool:
        """Whether a start with other software may have begun the stream.

        It restarted under its id, and the event may have come from the new
        start before this entry knew of it.
        """
        listed = servers.instances.get(self._server.instance)
        if self.is_certain or listed is None:
            return False
        changed = listed.version != self._server.version
        return changed and listed.start.supersedes(self._server.start)


class StreamDirectory:
    """Remembers the streams of this entry, and asks the sides about others.

    The entry that began a stream may be dead when its caller continues the
    stream at another one. The side of the engine that began it knows, from the
    messages about permits. If that can't be expected, the entry tells several
    sides: where the side granted no permit, and where a stream has ended
    before its last event, perhaps because its engine's machine is lost.
    """

    def __init__(
        self,
        sides: SideLinks,
        freshness: Freshness,
        meters: StreamMeters,
        log: EventLog,
    ) -> None:
        """Start without streams.

        :param freshness: of the list of servers.
        """
        self._sides = sides
        self._versions = sides.versions
        self._freshness = freshness
        self._meters = meters
        self._log = log
        self._origins = StreamOrigins()

    def servers_listed(self, servers: list[BackendServer]) -> None:
        """Handle a change of the list of servers."""
        now = boot_clock()
        origins = {StreamOrigin.of(server) for server in servers}
        if self._versions.update(now, origins) and self._versions.differ(now):
            ages = self._versions.ages(now)
            for link in broadcast_sides(self._sides.keeping_origins):
                link.send_message(VersionsListed(ages))

    def has_versions(self, pool: str) -> bool:
        """Whether servers of several versions may have begun its streams."""
        return len(self._versions.of_pool(boot_clock(), pool)) > 1

    def began(
        self, call: CallerRequest, origin: StreamOrigin, *, side_knows: bool
    ) -> None:
        """Record the first event of an attempt, once its origin is certain.

        :param side_knows: the side of the server was told.
        """
        self._origins.record(boot_clock(), call.stream_id, origin)
        if not side_knows or call.continues_stream:
            self._publish(call, origin)

    def ended_early(self, call: CallerRequest, origin: StreamOrigin) -> None:
        """Record that a stream ended before its caller had all of it."""
        self._publish(call, origin)

    async def find(
        self, call: CallerRequest, pool: Pool
    ) -> StreamOrigin | None:
        """Return what began the stream that a request continues.

        :param pool: where the request is sent if nothing is known.
        :return: ``None`` if it continues none, or no server can have begun it.
        :raises RequestError: it can't be found out.
        """
        if not call.continues_stream:
            return None
        source, origin = await self._look_up(call, pool)
        self._meters.origins[source] += 1
        self._log.write(
            Event.STREAM_TAKEN_UP,
            request=call.request_id,
            resumes=call.resumes,
            after_event=call.last_event_id,
            source=source,
            pool=origin and origin.pool,
            version=origin and origin.version,
        )
        if source is OriginSource.UNKNOWN:
            raise RequestError(
                ErrorKind.NOT_RUN_VERSION,
                'which software version began the stream is unknown',
            )
        return origin

    async def _look_up(
        self, call: CallerRequest, pool: Pool
    ) -> tuple[OriginSource, StreamOrigin | None]:
        origin = self._origins.find(boot_clock(), call.stream_id)
        if origin is not None:
            return OriginSource.ENTRY, origin
        if not self.has_versions(pool.name):
            asked = broadcast_sides(self._sides.knowing_origins(pool.name))
            lookup = OriginLookup(len(asked))
            origin = await _ask(asked, call.stream_id, lookup)
            if origin is not None:
                return OriginSource.SIDE, origin
            if not self.has_versions(pool.name):
                return self._only_version(pool, lookup)
        asked = self._sides.knowing_origins(pool.name)
        origin = await _ask(asked, call.stream_id, OriginLookup(len(asked)))
        return OriginSource.SIDE if origin else OriginSource.UNKNOWN, origin

    def _only_version(
        self, pool: Pool, lookup: OriginLookup
    ) -> tuple[OriginSource, StreamOrigin | None]:
        """Return the only version, if another one would be known here.

        Entries that see a new version tell all others through the sides, so
        one that can't reach the store still knows. But an entry that was cut
        off or stood still has not read it yet; it has once a side responds.
        Without either, servers of other versions may run, or may just have
        ended.

        :param lookup: to the sides, after their time.
        """
        without_sides = not self._sides.knowing_origins(pool.name)
        is_fresh = without_sides and self._freshness.is_fresh()
        if not lookup.has_responses and not is_fresh:
            return OriginSource.UNKNOWN, None
        versions = self._versions.of_pool(boot_clock(), pool.name)
        only = [StreamOrigin(pool.name, version) for version in versions]
        return OriginSource.ONLY_VERSION, next(iter(only), None)

    def _publish(self, call: CallerRequest, origin: StreamOrigin) -> None:
        """Tell a side in each failure domain, if the pool has versions."""
        if not self.has_versions(origin.pool):
            return
        message = StreamBegan(call.stream_id, origin.pool, origin.version)
        sides = self._sides.knowing_origins(origin.pool)
        for link in broadcast_sides(sides):
            link.send_message(message)


async def _ask(
    sides: Collection[SideLink], stream_id: str, lookup: OriginLookup
) -> StreamOrigin | None:
    """Ask sides what began a stream; ``None`` if none of them knows in time."""
    for link in sides:
        link.find_origin(stream_id, lookup)
    with suppress(TimeoutError):
        async with asyncio.timeout(LOOKUP_SECONDS):
            return await lookup.result
    return None
