"""Apply what the feeds read from the store to the state of an entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection
from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.configuration import Configuration
from sardinetrack.topology.feed import FeedListener
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer
from sardinetrack.topology.starts import written_before

MAX_REFUSED: Final = 1000
"""Unreadable records that are remembered, so that each is logged once."""
_MAX_NAME_CHARS: Final = 100
_MAX_CAUSE_CHARS: Final = 200


class Decoder(ABC):
    """Decodes the objects of the operator and of the servers."""

    @abstractmethod
    def configuration(self, stored: StoredObject) -> Configuration | None:
        """Decode a configuration; ``None`` for another object.

        :raises ValueError: it can't be decoded.
        """

    @abstractmethod
    def server(self, stored: StoredObject) -> BackendServer:
        """Decode a server.

        :raises ValueError: it can't be decoded.
        """


class ConfigurationListener(FeedListener):
    """Activates each newer configuration, and never an older one."""

    def __init__(self, state: EntryState, decoder: Decoder) -> None:
        """Update the state of an entry.

        :param decoder: reads the configuration objects.
        """
        self._state = state
        self._decoder = decoder

    def listed(self, listing: Listing) -> None:
        """Apply the newest of the listed objects."""
        for stored in listing.objects:
            self.changed(stored)

    def changed(self, stored: StoredObject) -> None:
        """Apply a newer configuration; otherwise keep the last good one."""
        if stored.deleted:
            return
        try:
            configuration = self._decoder.configuration(stored)
        except ValueError as error:
            self._state.log.write(Event.CONFIG_REFUSED, cause=str(error))
            return
        active = self._state.configuration
        if configuration is None:
            return
        if active is not None and configuration.version <= active.version:
            return
        self._state.configuration = configuration
        self._state.server_states.lengths.keep(
            {
                route.name
                for routes in configuration.routes.values()
                for route in routes
            },
        )
        self._state.apply_server_changes()
        self._state.log.write(
            Event.CONFIGURED,
            version=configuration.version,
            revision=stored.version,
            routes=sum(map(len, configuration.routes.values())),
            keys=None
            if configuration.workspaces is None
            else len(configuration.workspaces),
        )

    def confirmed(self, asked_seconds: float) -> None:
        """Reset the age of the view."""
        self._state.freshness.confirm(asked_seconds)

    def lost(self, failed_seconds: float) -> None:
        """Let the age of the view grow."""

    def returned(self, failed_seconds: float) -> None:
        """Do nothing: the view is confirmed next."""


class EvacuationsListener(FeedListener):
    """Tracks the failure domains that get no new requests.

    Only the names of the objects count: an object with unreadable content
    evacuates its domain all the same.
    """

    def __init__(self, state: EntryState) -> None:
        """Update the state of an entry."""
        self._state = state
        self._domains: set[str] = set()

    def listed(self, listing: Listing) -> None:
        """Replace all evacuated domains."""
        self._domains = {_name(stored) for stored in listing.objects}
        self._state.evacuate(frozenset(self._domains))

    def changed(self, stored: StoredObject) -> None:
        """Apply one change."""
        self._domains.discard(_name(stored))
        if not stored.deleted:
            self._domains.add(_name(stored))
        self._state.evacuate(frozenset(self._domains))

    def confirmed(self, asked_seconds: float) -> None:
        """Do nothing: evacuations do not age; changes arrive by themselves."""

    def lost(self, failed_seconds: float) -> None:
        """Do nothing: evacuations stay until the store reports a change."""

    def returned(self, failed_seconds: float) -> None:
        """Do nothing: they are listed next."""


class ServersListener(FeedListener):
    """Maintains the list of servers."""

    def __init__(self, state: EntryState, decoder: Decoder) -> None:
        """Update the state of an entry.

        :param decoder: reads the server objects.
        """
        self._state = state
        self._decoder = decoder
        self._refused: dict[str, int] = {}

    def listed(self, listing: Listing) -> None:
        """Replace the list."""
        found: list[BackendServer] = []
        refused: list[StoredObject] = []
        for stored in listing.objects:
            server = self._read(stored)
            if server is None:
                refused.append(stored)
            else:
                found.append(server)
        servers = self._state.servers
        servers.replace(boot_clock(), found)
        for unreadable in refused:
            servers.drop_unreadable(_name(unreadable), unreadable.version)
        self._keep_refused({one.key for one in refused})
        self._state.apply_server_changes()

    def changed(self, stored: StoredObject) -> None:
        """Apply one change."""
        if stored.deleted:
            self._remove(stored)
        else:
            self._put(stored)
        self._state.apply_server_changes()

    def confirmed(self, asked_seconds: float) -> None:
        """Record when the list was complete."""
        self._state.servers.times.confirm(boot_clock(), asked_seconds)

    def lost(self, failed_seconds: float) -> None:
        """Keep servers whose records expire in an outage for a while."""
        self._state.servers.times.record_failure(failed_seconds)

    def returned(self, failed_seconds: float) -> None:
        """Record the outage, which another feed may have noticed alone."""
        self._state.servers.times.record_failure(failed_seconds)

    def _remove(self, stored: StoredObject) -> None:
        servers = self._state.servers
        known = servers.instances.get(_name(stored))
        if known and written_before(stored.version, known.revision):
            # The later record was listed on a page that was read afterwards.
            return
        self._refused.pop(stored.key, None)
        servers.remove(boot_clock(), _name(stored))

    def _put(self, stored: StoredObject) -> None:
        server = self._read(stored)
        if server is None:
            # A readable record was replaced by an unreadable one: the server
            # gets no new requests, and the requests that it runs are not
            # interrupted.
            self._state.servers.drop_unreadable(_name(stored), stored.version)
            return
        self._refused.pop(stored.key, None)
        known = self._state.servers.instances.get(server.instance)
        self._state.servers.put(boot_clock(), server)
        listed = self._state.servers.instances[server.instance]
        if known is None or known.leaving != listed.leaving:
            self._state.log.write(
                Event.SERVER_LISTED,
                server=server.instance,
                pool=server.pool,
                address=f'{server.ip}:{server.port}',
                version=listed.version,
                leaving=listed.leaving,
                revision=stored.version,
            )

    def _read(self, stored: StoredObject) -> BackendServer | None:
        try:
            return self._decoder.server(stored)
        except ValueError as error:
            self._log_refused(stored, error)
            return None

    def _keep_refused(self, keys: Collection[str]) -> None:
        """Forget unreadable records that are no longer listed."""
        self._refused = {
            key: version
            for key, version in self._refused.items()
            if key in keys
        }

    def _log_refused(self, stored: StoredObject, error: ValueError) -> None:
        """Log an unreadable record once per change, not per listing."""
        if self._refused.get(stored.key) == stored.version:
            return
        if len(self._refused) >= MAX_REFUSED:
            self._refused.pop(next(iter(self._refused)))
        self._refused[stored.key] = stored.version
        self._state.meters.refused_entries += 1
        self._state.log.write(
            Event.SERVER_REFUSED,
            entry=stored.key[:_MAX_NAME_CHARS],
            revision=stored.version,
            cause=str(error)[:_MAX_CAUSE_CHARS],
        )


def _name(stored: StoredObject) -> str:
    return stored.key.partition('/')[2]
