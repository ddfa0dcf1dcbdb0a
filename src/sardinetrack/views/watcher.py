"""Watches the store for its subscribers and sends them the changes."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.feed import Feed, FeedListener
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.views.api import ViewSubscriber
from sardinetrack.views.messages import (
    FromWatcher,
    ViewConfirmed,
    ViewLost,
    ViewObject,
    ViewObjects,
    encode_object,
)

VIEW_WATCH_SECONDS: Final = 1.0
"""How long a watcher's call waits for a change.

Each response confirms the view to all subscribers. Without one they leave the
watcher after this time and a lag.
"""
EVACUATIONS_VIEW_SECONDS: Final = 2.0
"""The same for evacuations, which must be in effect after 5 s."""
IDLE_SECONDS: Final = 1.0
"""How long the store is still watched after the last subscriber has left."""


@dataclass(slots=True)
class _Clock:
    """Offset between the boot clocks of a subscriber and this instance."""

    stamp_seconds: float
    """By the subscriber's clock, when it sent its last message."""
    received_seconds: float
    """By this instance's clock, when that message arrived."""

    def at(self, own_seconds: float) -> float:
        """Convert a time to the subscriber's clock, never too late.

        The result is too early by the time that the message was in transit. A
        view that waits in a buffer while an instance is suspended thus can
        only look too old.
        """
        return self.stamp_seconds + own_seconds - self.received_seconds


class FeedFactory(ABC):
    """Makes the feeds that read the store."""

    @abstractmethod
    def create_feeds(self, mirrors: Mapping[str, Mirror]) -> list[Feed]:
        """Make a feed for each mirror.

        :param mirrors: by prefix.
        """


class Watcher:
    """Watches the store while it has subscribers."""

    def __init__(
        self,
        feeds: FeedFactory,
        prefixes: tuple[str, ...],
        log: EventLog,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        """Start without subscribers.

        :param feeds: makes the feeds when the first subscriber arrives.
        :param prefixes: of the kinds of objects that are watched.
        :param clock: the boot clock, in seconds.
        """
        self._clock = clock
        self._feeds = feeds
        self._log = log
        self._mirrors = {one: Mirror(one, self) for one in prefixes}
        self._subscribers: dict[ViewSubscriber, _Clock] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._idle: asyncio.TimerHandle | None = None
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Return itself; the store is watched from the first subscriber on."""
        self._stack.callback(self._stop)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching."""
        self._stack.close()

    @property
    def subscribers(self) -> int:
        """Number of subscribers."""
        return len(self._subscribers)

    def follow(self, subscriber: ViewSubscriber, stamp_seconds: float) -> None:
        """Add a subscriber: send it all objects, and then every change.

        :param stamp_seconds: its boot clock when it subscribed.
        """
        self._subscribers[subscriber] = _Clock(stamp_seconds, self._clock())
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None
        if not self._tasks:
            self._start()
        for mirror in self._mirrors.values():
            mirror.send_all(subscriber)

    def stamp(self, subscriber: ViewSubscriber, stamp_seconds: float) -> None:
        """Update a subscriber's clock."""
        clock = self._subscribers.get(subscriber)
        if clock is not None:
            clock.stamp_seconds = stamp_seconds
            clock.received_seconds = self._clock()

    def leave(self, subscriber: ViewSubscriber) -> None:
        """Remove a subscriber."""
        self._subscribers.pop(subscriber, None)
        if not self._subscribers and self._tasks and self._idle is None:
            loop = asyncio.get_running_loop()
            self._idle = loop.call_later(IDLE_SECONDS, self._stop)

    def broadcast(self, message: FromWatcher) -> None:
        """Send a message to all subscribers."""
        for subscriber in list(self._subscribers):
            subscriber.send_message(message)

    def broadcast_confirmation(
        self,
        prefix: str,
        asked_seconds: float,
    ) -> None:
        """Send all subscribers when a view was complete, by their clocks."""
        for subscriber, clock in list(self._subscribers.items()):
            at_seconds = clock.at(asked_seconds)
            subscriber.send_message(ViewConfirmed(prefix, at_seconds))

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(feed.run())
            for feed in self._feeds.create_feeds(self._mirrors)
        ]
        for task in self._tasks:
            task.add_done_callback(self._ended)
        self._log.write(Event.WATCHING, watching=True)

    def _stop(self) -> None:
        self._idle = None
        if not self._tasks:
            return
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        for mirror in self._mirrors.values():
            mirror.clear()
        self._log.write(Event.WATCHING, watching=False)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.write(Event.FAULT, cause=repr(task.exception()))


class Mirror(FeedListener):
    """Copy of one kind of objects of the store, sent to the subscribers."""

    def __init__(self, prefix: str, watcher: Watcher) -> None:
        """Start without objects.

        :param prefix: of the keys of the objects.
        :param watcher: sends the changes to its subscribers.
        """
        self._prefix = prefix
        self._watcher = watcher
        self._objects: dict[str, ViewObject] | None = None
        self._revision = 0
        self._changes: list[ViewObject] = []

    def clear(self) -> None:
        """Discard the objects, which are no longer kept up to date."""
        self._objects = None
        self._changes = []

    def send_all(self, subscriber: ViewSubscriber) -> None:
        """Send a new subscriber all objects."""
        if self._objects is not None:
            subscriber.send_message(self._full_view(self._objects))

    def listed(self, listing: Listing) -> None:
        """Replace all objects and send them."""
        self._revision = listing.revision
        self._changes = []
        self._objects = {one.key: encode_object(one) for one in listing.objects}
        self._watcher.broadcast(self._full_view(self._objects))

    def changed(self, stored: StoredObject) -> None:
        """Apply one change; it is sent with all others of its response."""
        if self._objects is None:
            return
        one = encode_object(stored)
        self._revision = max(self._revision, one.version)
        self._changes.append(one)
        self._objects.pop(one.key, None)
        if not one.deleted:
            self._objects[one.key] = one

    def confirmed(self, asked_seconds: float) -> None:
        """Send the changes, and a confirmation that there are no others."""
        if self._changes:
            changes = tuple(self._changes)
            self._changes = []
            self._watcher.broadcast(
                ViewObjects(
                    self._prefix,
                    self._revision,
                    complete=False,
                    objects=changes,
                ),
            )
        self._watcher.broadcast_confirmation(self._prefix, asked_seconds)

    def lost(self, failed_seconds: float) -> None:
        """Report that the store does not respond to this instance."""
        self._watcher.broadcast(
            ViewLost(f'{self._prefix} unread at the neighbour')
        )

    def returned(self, failed_seconds: float) -> None:
        """Do nothing: the objects are sent next."""

    def _full_view(self, objects: Mapping[str, ViewObject]) -> ViewObjects:
        return ViewObjects(
            self._prefix,
            self._revision,
            complete=True,
            objects=tuple(objects.values()),
        )
