"""Watch the store for instances that ask, and tell them what changes."""

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
from sardinetrack.topology.feed import Feed
from sardinetrack.topology.feed import Follower as FeedFollower
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.views.api import Follower
from sardinetrack.views.messages import (
    FromWatcher,
    ToldObject,
    ViewConfirmed,
    ViewLost,
    ViewObjects,
    told,
)

WATCH_SECONDS: Final = 1.0
"""How long a watcher's call waits whose answers confirm the configuration.

Followers take a longer pause for a loss; it costs one call a second for all
of them together.
"""
SLOW_WATCH_SECONDS: Final = 2.0
"""The same of a kind of objects whose view needs no age."""
IDLE_SECONDS: Final = 1.0
"""How long the store is watched on after the last follower has left."""


@dataclass(slots=True)
class _Clock:
    """How a follower's boot clock stands to this one's."""

    stamp_seconds: float
    received_seconds: float

    def at(self, own_seconds: float) -> float:
        """Tell the follower's time; never later than the true one.

        The stamp was older than it says when it came, by its way here. What
        waits in a buffer while an end is suspended so only looks older.
        """
        return self.stamp_seconds + own_seconds - self.received_seconds


class Feeds(ABC):
    """Makes the ways to the store."""

    @abstractmethod
    def open(self, mirrors: Mapping[str, Mirror]) -> list[Feed]:
        """Make a feed for each mirror, by prefix."""


class Watcher:
    """Follows the store while somebody asks for its word."""

    def __init__(
        self,
        feeds: Feeds,
        prefixes: tuple[str, ...],
        log: EventLog,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        """Prepare.

        :param prefixes: of the kinds of objects that are watched.
        :param clock: the boot clock, in seconds.
        """
        self._clock = clock
        self._feeds = feeds
        self._log = log
        self._mirrors = {one: Mirror(one, self) for one in prefixes}
        self._followers: dict[Follower, _Clock] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._idle: asyncio.TimerHandle | None = None
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Watch nothing yet."""
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
    def followers(self) -> int:
        """Count those that are told."""
        return len(self._followers)

    def follow(self, follower: Follower, stamp_seconds: float) -> None:
        """Tell a follower all there is, and then every change."""
        self._followers[follower] = _Clock(stamp_seconds, self._clock())
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None
        if not self._tasks:
            self._start()
        for mirror in self._mirrors.values():
            mirror.introduce(follower)

    def stamp(self, follower: Follower, stamp_seconds: float) -> None:
        """Learn a follower's clock anew."""
        clock = self._followers.get(follower)
        if clock is not None:
            clock.stamp_seconds = stamp_seconds
            clock.received_seconds = self._clock()

    def leave(self, follower: Follower) -> None:
        """Tell a follower no more."""
        self._followers.pop(follower, None)
        if not self._followers and self._tasks and self._idle is None:
            loop = asyncio.get_running_loop()
            self._idle = loop.call_later(IDLE_SECONDS, self._stop)

    def tell(self, message: FromWatcher) -> None:
        """Tell everybody."""
        for follower in list(self._followers):
            follower.tell(message)

    def confirm(self, prefix: str, asked_seconds: float) -> None:
        """Tell everybody, by their own clocks, when a view was whole."""
        for follower, clock in list(self._followers.items()):
            at_seconds = clock.at(asked_seconds)
            follower.tell(ViewConfirmed(prefix, at_seconds))

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(feed.run())
            for feed in self._feeds.open(self._mirrors)
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


class Mirror(FeedFollower):
    """One kind of objects as the store has it, and as it is told."""

    def __init__(self, prefix: str, watcher: Watcher) -> None:
        """Start with nothing."""
        self._prefix = prefix
        self._watcher = watcher
        self._objects: dict[str, ToldObject] | None = None
        self._revision = 0
        self._changes: list[ToldObject] = []

    def clear(self) -> None:
        """Forget what is not kept up to date any more."""
        self._objects = None
        self._changes = []

    def introduce(self, follower: Follower) -> None:
        """Tell a new follower all there is."""
        if self._objects is not None:
            follower.tell(self._all(self._objects))

    def listed(self, listing: Listing) -> None:
        """Take over all objects."""
        self._revision = listing.revision
        self._changes = []
        self._objects = {one.key: told(one) for one in listing.objects}
        self._watcher.tell(self._all(self._objects))

    def changed(self, stored: StoredObject) -> None:
        """Take one change; it is told with the answer that brought it."""
        if self._objects is None:
            return
        one = told(stored)
        self._revision = max(self._revision, one.version)
        self._changes.append(one)
        self._objects.pop(one.key, None)
        if not one.deleted:
            self._objects[one.key] = one

    def confirmed(self, asked_seconds: float) -> None:
        """Tell the changes, and that there are no others."""
        if self._changes:
            changes = tuple(self._changes)
            self._changes = []
            self._watcher.tell(
                ViewObjects(
                    self._prefix,
                    self._revision,
                    whole=False,
                    objects=changes,
                ),
            )
        self._watcher.confirm(self._prefix, asked_seconds)

    def lost(self) -> None:
        """Tell that the store does not answer here."""
        self._watcher.tell(ViewLost(f'{self._prefix} unread at the neighbour'))

    def _all(self, objects: Mapping[str, ToldObject]) -> ViewObjects:
        return ViewObjects(
            self._prefix,
            self._revision,
            whole=True,
            objects=tuple(objects.values()),
        )
