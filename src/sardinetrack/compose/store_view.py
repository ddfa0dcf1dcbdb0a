"""Build the store views: an entry's, and the one a side lends to entries."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from sardinetrack.logs.events import EventLog
from sardinetrack.platform.catalogue import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    EVACUATIONS_PREFIX,
    decode_configuration,
)
from sardinetrack.platform.servers import SERVERS_PREFIX, decode_server
from sardinetrack.platform.store import PlatformStore
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.feed_listeners import (
    ConfigurationListener,
    Decoder,
    EvacuationsListener,
    ServersListener,
)
from sardinetrack.relay.neighbours import SideNeighbours
from sardinetrack.relay.settings import InstanceSettings
from sardinetrack.store.api import StoredObject
from sardinetrack.topology.configuration import Configuration
from sardinetrack.topology.feed import (
    CONFIGURATION_WATCH_SECONDS,
    EVACUATIONS_WATCH_SECONDS,
    SERVERS_WATCH_SECONDS,
    Feed,
)
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.outage import StoreAccess
from sardinetrack.topology.servers import BackendServer
from sardinetrack.views.borrowed import BorrowedView
from sardinetrack.views.source import DirectFeeds, ViewSource
from sardinetrack.views.watcher import (
    EVACUATIONS_VIEW_SECONDS,
    VIEW_WATCH_SECONDS,
    FeedFactory,
    Mirror,
    Watcher,
)

_SIDE_WATCH_SECONDS: Final = MappingProxyType(
    {
        CONFIGURATION_PREFIX: VIEW_WATCH_SECONDS,
        SERVERS_PREFIX: VIEW_WATCH_SECONDS,
        EVACUATIONS_PREFIX: EVACUATIONS_VIEW_SECONDS,
    },
)
"""How long each watch call of a side waits, by the prefix of the objects."""
_ENTRY_WATCH_SECONDS: Final = MappingProxyType(
    {
        CONFIGURATION_PREFIX: CONFIGURATION_WATCH_SECONDS,
        SERVERS_PREFIX: SERVERS_WATCH_SECONDS,
        EVACUATIONS_PREFIX: EVACUATIONS_WATCH_SECONDS,
    },
)
"""The same of an entry that reads the store itself."""


def watched_prefixes(settings: InstanceSettings) -> tuple[str, ...]:
    """Return the prefixes of the objects to watch."""
    return tuple(
        prefix
        for prefix in _SIDE_WATCH_SECONDS
        if prefix != EVACUATIONS_PREFIX or settings.evacuates
    )


class PlatformObjectDecoder(Decoder):
    """Decodes objects that the platform's operator or a server wrote."""

    def configuration(self, stored: StoredObject) -> Configuration | None:
        """Decode a configuration; ``None`` for any other object."""
        if stored.key != CONFIGURATION_KEY:
            return None
        return decode_configuration(stored.value)

    def server(self, stored: StoredObject) -> BackendServer:
        """Decode a backend server."""
        instance = stored.key.partition('/')[2]
        return decode_server(instance, stored.value, stored.version)


class StoreFeedFactory(FeedFactory):
    """Creates feeds of the platform's store."""

    def __init__(self, store: PlatformStore, log: EventLog) -> None:
        self._store = store
        self._log = log

    def create_feeds(self, mirrors: Mapping[str, Mirror]) -> list[Feed]:
        """Create a feed for each mirror."""
        access = StoreAccess(self._store)
        return [
            Feed(access, prefix, mirror, self._log, _SIDE_WATCH_SECONDS[prefix])
            for prefix, mirror in mirrors.items()
        ]


def entry_view(state: EntryState, store: PlatformStore) -> ViewSource:
    """Build an entry's view of the store."""
    decoder = PlatformObjectDecoder()
    listeners = {
        CONFIGURATION_PREFIX: ConfigurationListener(state, decoder),
        SERVERS_PREFIX: ServersListener(state, decoder),
        EVACUATIONS_PREFIX: EvacuationsListener(state),
    }
    views = {
        prefix: BorrowedView(
            listeners[prefix], boot_clock, _SIDE_WATCH_SECONDS[prefix]
        )
        for prefix in watched_prefixes(state.settings)
    }
    access = StoreAccess(store)
    feeds = [
        Feed(access, prefix, view, state.log, _ENTRY_WATCH_SECONDS[prefix])
        for prefix, view in views.items()
    ]
    direct = DirectFeeds(feeds, access)
    source = ViewSource(direct, views, SideNeighbours(state), state.log)
    state.sides.views = source
    return source


def side_watcher(
    settings: InstanceSettings,
    store: PlatformStore,
    log: EventLog,
) -> Watcher:
    """Build the watcher that lends the view of a side to entries."""
    return Watcher(
        StoreFeedFactory(store, log),
        watched_prefixes(settings),
        log,
    )
