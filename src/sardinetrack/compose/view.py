"""Wire a node's view of the store: an entry's, and the one a side lends."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from sardinetrack.logs.events import EventLog
from sardinetrack.platform.catalogue import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    EVACUATIONS_PREFIX,
    configuration_of,
)
from sardinetrack.platform.servers import SERVERS_PREFIX, server_of
from sardinetrack.platform.store import PlatformStore
from sardinetrack.relay.fleet import Fleet
from sardinetrack.relay.followers import (
    ConfigurationFollower,
    Decoder,
    EvacuationsFollower,
    ServersFollower,
)
from sardinetrack.relay.neighbours import SideNeighbours
from sardinetrack.relay.settings import NodeSettings
from sardinetrack.store.api import StoredObject
from sardinetrack.topology.configuration import Configuration
from sardinetrack.topology.feed import CALM_SECONDS, CONFIRM_SECONDS, Feed
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.outage import StoreWay
from sardinetrack.topology.servers import BackendServer
from sardinetrack.views.borrowed import BorrowedView
from sardinetrack.views.source import OwnFeeds, ViewSource
from sardinetrack.views.watcher import (
    SLOW_WATCH_SECONDS,
    WATCH_SECONDS,
    Feeds,
    Mirror,
    Watcher,
)

_WATCHED: Final = MappingProxyType(
    {
        CONFIGURATION_PREFIX: WATCH_SECONDS,
        SERVERS_PREFIX: SLOW_WATCH_SECONDS,
        EVACUATIONS_PREFIX: SLOW_WATCH_SECONDS,
    },
)
"""What a side watches for entries, and how long each call waits."""


def watched_prefixes(settings: NodeSettings) -> tuple[str, ...]:
    """Name the kinds of objects that are followed on a platform."""
    return tuple(
        prefix
        for prefix in _WATCHED
        if prefix != EVACUATIONS_PREFIX or settings.evacuates
    )


class PlatformDecoder(Decoder):
    """Reads the objects as the platform's operator and servers write them."""

    def configuration(self, stored: StoredObject) -> Configuration | None:
        """Read a configuration; ``None`` for another object."""
        if stored.key != CONFIGURATION_KEY:
            return None
        return configuration_of(stored.value)

    def server(self, stored: StoredObject) -> BackendServer:
        """Read a server."""
        instance = stored.key.partition('/')[2]
        return server_of(instance, stored.value, stored.version)


class StoreFeeds(Feeds):
    """Ways to the platform's store."""

    def __init__(self, store: PlatformStore, log: EventLog) -> None:
        """Remember the store."""
        self._store = store
        self._log = log

    def open(self, mirrors: Mapping[str, Mirror]) -> list[Feed]:
        """Make a feed for each mirror."""
        way = StoreWay(self._store)
        return [
            Feed(way, prefix, mirror, self._log, _WATCHED[prefix])
            for prefix, mirror in mirrors.items()
        ]


def view_of(fleet: Fleet, store: PlatformStore) -> ViewSource:
    """Wire an entry's view of the store."""
    decoder = PlatformDecoder()
    followers = {
        CONFIGURATION_PREFIX: ConfigurationFollower(fleet, decoder),
        SERVERS_PREFIX: ServersFollower(fleet, decoder),
        EVACUATIONS_PREFIX: EvacuationsFollower(fleet),
    }
    views = {
        prefix: BorrowedView(followers[prefix], boot_clock)
        for prefix in watched_prefixes(fleet.settings)
    }
    way = StoreWay(store)
    feeds = [
        Feed(way, prefix, view, fleet.log, _own_wait_seconds(prefix))
        for prefix, view in views.items()
    ]
    own = OwnFeeds(feeds, way)
    source = ViewSource(own, views, SideNeighbours(fleet), fleet.log)
    fleet.sides.views = source
    return source


def watcher_of(
    settings: NodeSettings,
    store: PlatformStore,
    log: EventLog,
) -> Watcher:
    """Wire what a side lends to entries."""
    return Watcher(StoreFeeds(store, log), watched_prefixes(settings), log)


def _own_wait_seconds(prefix: str) -> float:
    if prefix == CONFIGURATION_PREFIX:
        return CONFIRM_SECONDS
    return CALM_SECONDS
