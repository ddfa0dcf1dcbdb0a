"""Take what the feeds read into the entry's knowledge."""

from __future__ import annotations

from abc import ABC, abstractmethod

from sardinetrack.logs.events import Event
from sardinetrack.relay.fleet import Fleet
from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.configuration import Configuration
from sardinetrack.topology.feed import Follower
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer


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


class ServersFollower(Follower):
    """Keeps the list of servers."""

    def __init__(self, fleet: Fleet, decoder: Decoder) -> None:
        """Feed a fleet."""
        self._fleet = fleet
        self._decoder = decoder

    def listed(self, listing: Listing) -> None:
        """Take over the whole list."""
        found = [self._read(stored) for stored in listing.objects]
        self._fleet.servers.replace(
            boot_clock(),
            [server for server in found if server is not None],
        )
        self._fleet.servers_changed()

    def changed(self, stored: StoredObject) -> None:
        """Take one change."""
        instance = stored.key.partition('/')[2]
        if stored.deleted:
            self._fleet.servers.remove(boot_clock(), instance)
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
            return
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
            self._fleet.log.write(
                Event.CONFIG_REFUSED,
                what=stored.key,
                cause=str(error),
            )
            return None
