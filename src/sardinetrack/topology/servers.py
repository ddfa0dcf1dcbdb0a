"""Backend servers in the platform's instance list."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from sardinetrack.topology.announced import AnnouncedLeavings
from sardinetrack.topology.leavings import KnownLeavings
from sardinetrack.topology.list_times import ListTimes
from sardinetrack.topology.starts import ServerStart, written_before

ADDRESS_CONFLICT_SECONDS: Final = 4.0
"""How long a server gets no work after another responded at its address.

Source: the platform removes the record of a crashed server after three missed
intervals, 3.6 s.
"""


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One start of a backend server, as listed."""

    instance: str
    pool: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    started_milliseconds: int | None = None
    """Unix time of its start by its own clock, if its record has it."""
    revision: int = 0
    """Of the store when the record was written; 0 if unknown."""
    cold_seconds: float = 0
    """How long it was still cold when the record was written."""
    version: str = ''
    """Of its software; empty if unknown."""

    @property
    def address(self) -> tuple[str, int]:
        """IP and port for connections."""
        return (self.ip, self.port)

    @property
    def start(self) -> ServerStart:
        """The start of the server that the record is about."""
        return ServerStart(
            self.instance,
            self.started_milliseconds,
            self.revision,
            self.version,
        )


class ServerList:
    """The servers that may get requests, by instance; reads no clock."""

    def __init__(self) -> None:
        """Start without servers."""
        self.announced = AnnouncedLeavings()
        self.leavings = KnownLeavings()
        self.times = ListTimes()
        self._instances: dict[str, BackendServer] = {}
        self._listed: dict[str, BackendServer] = {}
        self._missing: set[str] = set()
        self._misaddressed: dict[str, float] = {}
        self._available: dict[str, BackendServer] = {}
        self._by_pool: dict[str, tuple[BackendServer, ...]] = {}
        self._evacuated: frozenset[str] = frozenset()

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose servers get no new work."""
        return self._evacuated

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Send no new work to the servers of some failure domains.

        They stay listed, and their running requests continue.
        """
        self._evacuated = failure_domains
        self._rebuild_pools()

    def only_evacuated(self, pool: str) -> bool:
        """Whether a pool has no available server only due to evacuation."""
        return not self.in_pool(pool) and any(
            server.pool == pool
            and not server.leaving
            and server.failure_domain in self._evacuated
            for server in self._instances.values()
        )

    def replace(self, now: float, servers: Iterable[BackendServer]) -> None:
        """Replace all servers by a complete listing."""
        self.times.begin_listing(now)
        listed = {server.instance: self._newest(server) for server in servers}
        self._missing.difference_update(listed)
        for missing in set(self._listed) - set(listed):
            self._unlist(now, missing, listed)
        self._listed = listed
        self._rebuild_pools()

    def put(self, now: float, server: BackendServer) -> None:
        """Add or update a server, of which the store has just reported."""
        self.times.begin_change(now)
        known = self._listed.get(server.instance)
        if known is not None and server.start.supersedes(known.start):
            # It is what has responded in place of the former start.
            self._misaddressed.pop(server.instance, None)
        self._listed[server.instance] = self._newest(server)
        self._missing.discard(server.instance)
        self._rebuild_pools()

    def started(self, start: ServerStart) -> bool:
        """Apply another process's report that a listed server restarted.

        :return: whether that start was unknown.
        """
        known = self._listed.get(start.instance)
        if known is None or not start.supersedes(known.start):
            return False
        self._listed[start.instance] = replace(
            known,
            started_milliseconds=start.started_milliseconds,
            revision=start.revision,
            version=start.version,
        )
        self._rebuild_pools()
        return True

    def drop_unreadable(self, instance: str, revision: int) -> None:
        """Remove a server whose new record is invalid.

        It gets no grace period, unlike a server whose record expired in an
        outage: the record was replaced, and what runs there is unknown.

        :param revision: of the store when the invalid record was written.
        """
        known = self._listed.get(instance)
        if known is None or written_before(revision, known.revision):
            return
        self._listed.pop(instance)
        self._missing.discard(instance)
        self._rebuild_pools()

    def remove(self, now: float, instance: str) -> None:
        """Remove a server that is no longer listed."""
        self.times.begin_change(now)
        if instance in self._listed:
            listed = dict(self._listed)
            listed.pop(instance)
            self._unlist(now, instance, listed)
            self._listed = listed
            self._rebuild_pools()

    def record_misaddressed(self, now: float, instance: str) -> None:
        """Send a server no work: another one responded at its address.

        When all servers lose power and start again with other ids, the
        records of the former ones stay listed for seconds.
        """
        if instance in self._listed:
            self._misaddressed[instance] = now + ADDRESS_CONFLICT_SECONDS
            self._rebuild_pools()

    def record_leaving(self, start: ServerStart) -> bool:
        """Send a server no new work: it has announced that it leaves.

        :param start: that announced it.
        :return: whether the server was not known to leave.
        """
        known = self._instances.get(start.instance)
        former = known is not None and known.start.supersedes(start)
        if former or start in self.announced:
            return False
        self.announced.add(start)
        self.times.begin_announcement()
        self._rebuild_pools()
        return known is None or not known.leaving

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove the servers that were not listed again in time.

        :return: their instances.
        """
        expired: tuple[str, ...] = ()
        if self.times.grace_is_over(now):
            expired = tuple(self._missing)
            self._missing.clear()
        for instance in expired:
            self._listed.pop(instance, None)
        resolved = [
            one for one, until in self._misaddressed.items() if until <= now
        ]
        for instance in resolved:
            self._misaddressed.pop(instance)
        if expired or resolved:
            self._rebuild_pools()
        return expired

    def in_pool(
        self, pool: str, version: str | None = None
    ) -> tuple[BackendServer, ...]:
        """Return the servers of a pool that get new work.

        :param version: of their software; ``None`` for any.
        """
        servers = self._by_pool.get(pool, ())
        if version is None:
            return servers
        return tuple(one for one in servers if one.version == version)

    def get(self, instance: str) -> BackendServer | None:
        """Return a server if it gets new work."""
        return self._available.get(instance)

    @property
    def instances(self) -> Mapping[str, BackendServer]:
        """All listed servers, also those that are draining."""
        return self._instances

    def is_replaced(self, server: BackendServer) -> bool:
        """Whether another server has been listed at its address since."""
        return any(
            other.address == server.address
            and other.instance != server.instance
            and other.revision > server.revision
            for other in self._instances.values()
        )

    def _newest(self, server: BackendServer) -> BackendServer:
        """Return the known record if the given one is older."""
        known = self._listed.get(server.instance)
        if known is not None and server.start.older_than(known.start):
            return known
        return server

    def _announced(self, server: BackendServer) -> BackendServer:
        """Return the record with what its server has announced."""
        if not server.leaving and server.start in self.announced:
            return replace(server, leaving=True)
        return server

    def _unlist(
        self,
        now: float,
        instance: str,
        listed: dict[str, BackendServer],
    ) -> None:
        server = self._instances[instance]
        taken = any(
            other.address == server.address for other in listed.values()
        )
        if server.leaving or taken or now >= self.times.grace_until_seconds:
            self._missing.discard(instance)
            return
        listed[instance] = self._listed[instance]
        self.leavings.note(instance, self.times.accepted_seconds)
        self._missing.add(instance)

    def _rebuild_pools(self) -> None:
        """Compute which servers are leaving, and which get work.

        Of two servers at one address the one whose record was written last
        runs there; the record of the other one is about to expire.
        """
        self.announced.update(self._listed)
        self._instances = {
            instance: self._announced(server)
            for instance, server in self._listed.items()
        }
        self.leavings.update(
            self._instances,
            self._missing,
            accepted_seconds=self.times.accepted_seconds,
            since_seconds=self.times.responded_seconds,
        )
        at_address: dict[tuple[str, int], BackendServer] = {}
        for server in self._instances.values():
            other = at_address.get(server.address)
            later = other is None or server.revision >= other.revision
            if later and server.instance not in self._misaddressed:
                at_address[server.address] = server
        self._available = {
            holder.instance: holder
            for holder in at_address.values()
            if not holder.leaving
            and holder.failure_domain not in self._evacuated
        }
        pools: dict[str, list[BackendServer]] = {}
        for working in self._available.values():
            pools.setdefault(working.pool, []).append(working)
        self._by_pool = {name: tuple(pool) for name, pool in pools.items()}
