"""Backend servers as the platform lists them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from sardinetrack.topology.starts import ServerStart, written_before

RETURN_SECONDS: Final = 1.6
"""How long after an outage a server that vanished from the list is kept.

Source: the platform's pages say that servers whose entries lapsed while the
store was away are listed again within about two seconds of its return, and
that one still missing then is gone; one that left must get nothing 2 s after
this instance has read of it, so the grace ends before that.
"""
DISOWNED_SECONDS: Final = 4.0
"""How long a server gets no work after another answered at its address.

Source: the platform removes the entry of a server that has gone down after
three intervals of silence, 3.6 s.
"""


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One start of a backend server, as it is listed."""

    instance: str
    pool: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    started_milliseconds: int | None = None
    """Unix time of its start by its own clock, if it tells it."""
    revision: int = 0
    """Of the store when this was written; 0 if that is unknown."""
    cold_seconds: float = 0
    """How long it was still cold when this was written."""

    @property
    def address(self) -> tuple[str, int]:
        """IP and port for connections."""
        return (self.ip, self.port)

    @property
    def start(self) -> ServerStart:
        """Which start of the server this is."""
        return ServerStart(
            self.instance,
            self.started_milliseconds,
            self.revision,
        )


class ServerList:
    """The servers that may get work, by instance; reads no clock."""

    def __init__(self) -> None:
        """Start empty."""
        self._listed: dict[str, BackendServer] = {}
        self._missing: dict[str, float] = {}
        self._disowned: dict[str, float] = {}
        self._working: dict[str, BackendServer] = {}
        self._shaky_until_seconds = float(0)
        self._by_pool: dict[str, tuple[BackendServer, ...]] = {}
        self._evacuated: frozenset[str] = frozenset()

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose servers get no new work."""
        return self._evacuated

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Keep new work from the servers of some failure domains.

        They stay listed, and what runs there runs to its end.
        """
        self._evacuated = failure_domains
        self._regroup()

    def only_evacuated(self, pool: str) -> bool:
        """Whether servers of a pool would work if none were evacuated."""
        return not self.of_pool(pool) and any(
            server.pool == pool
            and not server.leaving
            and server.failure_domain in self._evacuated
            for server in self._listed.values()
        )

    def replace(self, now: float, servers: Iterable[BackendServer]) -> None:
        """Take over a whole listing."""
        listed = {server.instance: self._newest(server) for server in servers}
        for instance in listed:
            self._missing.pop(instance, None)
        for gone in set(self._listed) - set(listed):
            self._vanish(now, gone, listed)
        self._listed = listed
        self._regroup()

    def put(self, server: BackendServer) -> None:
        """Note a new or changed server."""
        self._listed[server.instance] = self._newest(server)
        self._missing.pop(server.instance, None)
        self._regroup()

    def started(self, start: ServerStart) -> bool:
        """Take another process's word that a listed server started anew.

        :return: whether that is news.
        """
        held = self._listed.get(start.instance)
        if held is None or not start.supersedes(held.start):
            return False
        self._listed[start.instance] = replace(
            held,
            started_milliseconds=start.started_milliseconds,
            revision=start.revision,
        )
        self._regroup()
        return True

    def refuse(self, instance: str, revision: int) -> None:
        """Drop a server whose entry can't be understood any more.

        It is not kept as one whose entry has lapsed in an outage: something
        has been written in its place, and nobody knows what runs there.

        :param revision: of the store when that was written.
        """
        held = self._listed.get(instance)
        if held is None or written_before(revision, held.revision):
            return
        self._listed.pop(instance)
        self._missing.pop(instance, None)
        self._regroup()

    def remove(self, now: float, instance: str) -> None:
        """Note that a server is no longer listed."""
        if instance in self._listed:
            listed = dict(self._listed)
            listed.pop(instance)
            self._vanish(now, instance, listed)
            self._listed = listed
            self._regroup()

    def outage(self, now: float) -> None:
        """Note that the list can't be read, or could not until now.

        Entries lapse while the store is away, though the servers live. Were
        they dropped at once, every request would be refused for two seconds
        after each outage with all servers idle.
        """
        self._shaky_until_seconds = now + RETURN_SECONDS

    def disown(self, now: float, instance: str) -> None:
        """Note that another server has answered at a server's address.

        When all servers lose power and start again under other ids, the
        entries of the former ones stay listed for seconds.
        """
        if instance in self._listed:
            self._disowned[instance] = now + DISOWNED_SECONDS
            self._regroup()

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop the servers that did not come back in time.

        :return: their instances.
        """
        late = tuple(
            instance
            for instance, until in self._missing.items()
            if until <= now
        )
        for instance in late:
            self._missing.pop(instance)
            self._listed.pop(instance, None)
        owned = [one for one, until in self._disowned.items() if until <= now]
        for instance in owned:
            self._disowned.pop(instance)
        if late or owned:
            self._regroup()
        return late

    def of_pool(self, pool: str) -> tuple[BackendServer, ...]:
        """List the servers of a pool that take new work."""
        return self._by_pool.get(pool, ())

    def get(self, instance: str) -> BackendServer | None:
        """Find a server that takes new work."""
        return self._working.get(instance)

    @property
    def instances(self) -> Mapping[str, BackendServer]:
        """All listed servers, leaving ones too."""
        return self._listed

    def _newest(self, told: BackendServer) -> BackendServer:
        """Keep the held word where the told one is a late word."""
        held = self._listed.get(told.instance)
        if held is not None and told.start.older_than(held.start):
            return held
        return told

    def _vanish(
        self,
        now: float,
        instance: str,
        listed: dict[str, BackendServer],
    ) -> None:
        server = self._listed[instance]
        taken = any(
            other.address == server.address for other in listed.values()
        )
        if server.leaving or taken or now >= self._shaky_until_seconds:
            self._missing.pop(instance, None)
            return
        listed[instance] = server
        self._missing.setdefault(instance, self._shaky_until_seconds)

    def _regroup(self) -> None:
        """Work out which servers take work.

        Of two at one address the one that was written last runs there; the
        other one's entry is about to lapse.
        """
        at_address: dict[tuple[str, int], BackendServer] = {}
        for server in self._listed.values():
            other = at_address.get(server.address)
            later = other is None or server.revision >= other.revision
            if later and server.instance not in self._disowned:
                at_address[server.address] = server
        self._working = {
            holder.instance: holder
            for holder in at_address.values()
            if not holder.leaving
            and holder.failure_domain not in self._evacuated
        }
        pools: dict[str, list[BackendServer]] = {}
        for working in self._working.values():
            pools.setdefault(working.pool, []).append(working)
        self._by_pool = {name: tuple(pool) for name, pool in pools.items()}
