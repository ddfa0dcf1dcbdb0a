"""Take what the feeds read into the entry's knowledge."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection
from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.relay.fleet import Fleet
from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.configuration import Configuration
from sardinetrack.topology.feed import Follower
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer

MOST_REFUSED: Final = 1000
"""Refused entries that are remembered, so that each is told once."""
_MOST_NAME: Final = 100
_MOST_CAUSE: Final = 200


class Decoder(ABC):
    """Reads the operator's and the servers' objects."""

    @abstractmethod
    def configuration(self, stored: StoredObject) -> Configuration | None:
        """Read a configuration; ``None`` for another object.

        :raises ValueError: it can't be understood.
        """

    @abstractmethod
    def server(self, stored: StoredObject) -> BackendServer:
        """Read a server.

        :raises ValueError: it can't be understood.
        """


class ConfigurationFollower(Follower):
    """Puts each newer configuration in force, and never an older one."""

    def __init__(self, fleet: Fleet, decoder: Decoder) -> None:
        """Feed a fleet."""
        self._fleet = fleet
        self._decoder = decoder

    def listed(self, listing: Listing) -> None:
        """Take the newest."""
        for stored in listing.objects:
            self.changed(stored)

    def changed(self, stored: StoredObject) -> None:
        """Take a newer one; keep the last good one in force otherwise."""
        if stored.deleted:
            return
        try:
            configuration = self._decoder.configuration(stored)
        except ValueError as error:
            self._fleet.log.write(Event.CONFIG_REFUSED, cause=str(error))
            return
        held = self._fleet.configuration
        if configuration is None:
            return
        if held is not None and configuration.version <= held.version:
            return
        self._fleet.configuration = configuration
        self._fleet.beliefs.lengths.keep(
            {
                route.name
                for routes in configuration.routes.values()
                for route in routes
            },
        )
        self._fleet.servers_changed()
        self._fleet.log.write(
            Event.CONFIGURED,
            version=configuration.version,
            revision=stored.version,
            routes=sum(map(len, configuration.routes.values())),
            keys=len(configuration.workspaces),
        )

    def confirmed(self, asked_seconds: float) -> None:
        """Renew the age of the view."""
        self._fleet.freshness.confirm(asked_seconds)

    def lost(self) -> None:
        """Let the view grow old."""


class EvacuationsFollower(Follower):
    """Keeps which failure domains get no new work.

    They are known by the names of the objects: one whose content can't be
    read evacuates all the same.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Feed a fleet."""
        self._fleet = fleet
        self._domains: set[str] = set()

    def listed(self, listing: Listing) -> None:
        """Take over all of them."""
        self._domains = {_name(stored) for stored in listing.objects}
        self._fleet.evacuate(frozenset(self._domains))

    def changed(self, stored: StoredObject) -> None:
        """Take one change."""
        self._domains.discard(_name(stored))
        if not stored.deleted:
            self._domains.add(_name(stored))
        self._fleet.evacuate(frozenset(self._domains))

    def confirmed(self, asked_seconds: float) -> None:
        """They have no age of their own; changes come by themselves."""

    def lost(self) -> None:
        """What was evacuated stays so until the store tells otherwise."""


class ServersFollower(Follower):
    """Keeps the list of servers."""

    def __init__(self, fleet: Fleet, decoder: Decoder) -> None:
        """Feed a fleet."""
        self._fleet = fleet
        self._decoder = decoder
        self._refused: dict[str, int] = {}

    def listed(self, listing: Listing) -> None:
        """Take over the whole list."""
        found: list[BackendServer] = []
        refused: list[StoredObject] = []
        for stored in listing.objects:
            server = self._read(stored)
            if server is None:
                refused.append(stored)
            else:
                found.append(server)
        servers = self._fleet.servers
        servers.replace(boot_clock(), found)
        for unread in refused:
            servers.refuse(_name(unread), unread.version)
        self._remember({one.key for one in refused})
        self._fleet.servers_changed()

    def changed(self, stored: StoredObject) -> None:
        """Take one change."""
        if stored.deleted:
            self._refused.pop(stored.key, None)
            self._fleet.servers.remove(boot_clock(), _name(stored))
        else:
            self._put(stored)
        self._fleet.servers_changed()

    def confirmed(self, asked_seconds: float) -> None:
        """The list has no age of its own; changes come by themselves."""

    def lost(self) -> None:
        """Keep servers for a while whose entries lapse in the outage."""
        self._fleet.servers.outage(boot_clock())

    def _put(self, stored: StoredObject) -> None:
        server = self._read(stored)
        if server is None:
            # A good entry that stood here before says nothing any more: what
            # runs there gets no new work, and what it runs is not cut.
            self._fleet.servers.refuse(_name(stored), stored.version)
            return
        self._refused.pop(stored.key, None)
        known = self._fleet.servers.instances.get(server.instance)
        self._fleet.servers.put(server)
        if known is None or known.leaving != server.leaving:
            self._fleet.log.write(
                Event.SERVER_LISTED,
                server=server.instance,
                pool=server.pool,
                address=f'{server.ip}:{server.port}',
                leaving=server.leaving,
                revision=stored.version,
            )

    def _read(self, stored: StoredObject) -> BackendServer | None:
        try:
            return self._decoder.server(stored)
        except ValueError as error:
            self._note_refused(stored, error)
            return None

    def _remember(self, keys: Collection[str]) -> None:
        """Forget refused entries that are listed no more."""
        self._refused = {
            key: version
            for key, version in self._refused.items()
            if key in keys
        }

    def _note_refused(self, stored: StoredObject, error: ValueError) -> None:
        """Tell once for each change of an entry, however often it is listed."""
        if self._refused.get(stored.key) == stored.version:
            return
        if len(self._refused) >= MOST_REFUSED:
            self._refused.pop(next(iter(self._refused)))
        self._refused[stored.key] = stored.version
        self._fleet.meters.refused_entries += 1
        self._fleet.log.write(
            Event.SERVER_REFUSED,
            entry=stored.key[:_MOST_NAME],
            revision=stored.version,
            cause=str(error)[:_MOST_CAUSE],
        )


def _name(stored: StoredObject) -> str:
    return stored.key.partition('/')[2]
