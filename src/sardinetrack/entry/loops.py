"""The long-running tasks of an entry."""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import TaskGroup

from sardinetrack.catalogue.feed import CatalogueFeed
from sardinetrack.entry.configuration import ConfigExchange
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.peers import PeerEvents
from sardinetrack.links.api import LinkEvent, LinkEvents
from sardinetrack.membership.api import MembershipChange
from sardinetrack.membership.feed import MembershipFeed
from sardinetrack.messages.api import ConfigUpdate
from sardinetrack.store.api import Platform

_WAITING: Final = 1024
_TICK_SECONDS: Final = 0.1
_REMIND_SECONDS: Final = 5.0


class LinkInbox:
    """The stream that all links of an entry deliver to."""

    def __init__(self) -> None:
        """Open the stream."""
        streams = anyio.create_memory_object_stream[LinkEvent](_WAITING)
        self.events: LinkEvents = streams[0]
        self._received = streams[1]

    async def deliver(self, handler: PeerEvents) -> None:
        """Hand each event to its handler, in order."""
        async for event in self._received:
            handler.handle(event)


class PlatformNews:
    """Follows the catalogue and the list of instances."""

    def __init__(self, platform: Platform, watch_seconds: float) -> None:
        """Open the streams of the feeds."""
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
        exchange: ConfigExchange,
        handler: PeerEvents,
    ) -> None:
        """Run the feeds and hand on what they tell."""
        tasks.start_soon(self._catalogue.run)
        tasks.start_soon(self._membership.run)
        tasks.start_soon(self._hand_on_updates, exchange)
        tasks.start_soon(self._hand_on_changes, handler)

    async def _hand_on_updates(self, exchange: ConfigExchange) -> None:
        async for update in self._updates:
            exchange.from_platform(update)

    async def _hand_on_changes(self, handler: PeerEvents) -> None:
        async for change in self._changes:
            handler.listed(change)


async def tick(dispatcher: Dispatcher) -> None:
    """Let the routing decisions expire and refresh what is due."""
    while True:
        await anyio.sleep(_TICK_SECONDS)
        dispatcher.tick()


async def remind(exchange: ConfigExchange) -> None:
    """Tell all peers what is in force, now and then."""
    while True:
        await anyio.sleep(_REMIND_SECONDS)
        exchange.remind()
