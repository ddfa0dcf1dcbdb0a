"""The long-running tasks of an entry."""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import TaskGroup

from sardinetrack.catalogue.feed import CatalogueFeed
from sardinetrack.entry.config_sync import ConfigSync
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.peer_events import PeerEvents
from sardinetrack.links.api import LinkEvent, LinkEvents
from sardinetrack.membership.api import MembershipChange
from sardinetrack.membership.feed import MembershipFeed
from sardinetrack.messages.api import ConfigUpdate
from sardinetrack.store.api import Platform

_INBOX_CAPACITY: Final = 1024
_TICK_INTERVAL_SECONDS: Final = 0.1
_DIGEST_INTERVAL_SECONDS: Final = 5.0


class LinkInbox:
    """The stream that all links of an entry send their events to."""

    def __init__(self) -> None:
        streams = anyio.create_memory_object_stream[LinkEvent](_INBOX_CAPACITY)
        self.events: LinkEvents = streams[0]
        self._received = streams[1]

    async def deliver(self, handler: PeerEvents) -> None:
        """Pass each event to its handler, in order."""
        async for event in self._received:
            handler.handle(event)


class PlatformUpdates:
    """Follows the catalogue and the list of instances."""

    def __init__(self, platform: Platform, watch_seconds: float) -> None:
        """Create the feeds and their streams.

        :param platform: where the feeds read from.
        :param watch_seconds: maximum wait of one watch request.
        """
        updates = anyio.create_memory_object_stream[ConfigUpdate]()
        changes = anyio.create_memory_object_stream[MembershipChange]()
        self._updates = updates[1]
        self._changes = changes[1]
        self._catalogue = CatalogueFeed(
            platform,
            updates[0],
            watch_seconds=watch_seconds,
        )
        self._membership = MembershipFeed(platform, changes[0])

    def start(
        self,
        tasks: TaskGroup,
        config_sync: ConfigSync,
        handler: PeerEvents,
    ) -> None:
        """Run the feeds and forward their updates."""
        tasks.start_soon(self._catalogue.run)
        tasks.start_soon(self._membership.run)
        tasks.start_soon(self._forward_updates, config_sync)
        tasks.start_soon(self._forward_changes, handler)

    async def _forward_updates(self, config_sync: ConfigSync) -> None:
        async for update in self._updates:
            config_sync.apply_platform_update(update)

    async def _forward_changes(self, handler: PeerEvents) -> None:
        async for change in self._changes:
            handler.membership_changed(change)


async def tick_periodically(dispatcher: Dispatcher) -> None:
    """Run the time-based part of the routing decisions at regular intervals."""
    while True:
        await anyio.sleep(_TICK_INTERVAL_SECONDS)
        dispatcher.tick()


async def send_digests_periodically(config_sync: ConfigSync) -> None:
    """Send the configuration digest to all peers at regular intervals."""
    while True:
        await anyio.sleep(_DIGEST_INTERVAL_SECONDS)
        config_sync.send_digests()
