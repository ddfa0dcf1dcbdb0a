"""Entries and sides that share views of a store, on virtual time.

Sources, watchers, feeds and views are the real ones. Links only delay their
messages, and the store is a dictionary with watches that wait for changes.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from sardinetrack.logs.events import EventLog
from sardinetrack.store.api import Listing, NoResponseError, StoredObject
from sardinetrack.topology.feed import (
    CONFIGURATION_WATCH_SECONDS,
    SERVERS_WATCH_SECONDS,
    Feed,
    FeedListener,
)
from sardinetrack.topology.outage import StoreAccess
from sardinetrack.topology.servers import BackendServer, ServerList
from sardinetrack.views.api import Neighbour, NeighbourList, ViewSubscriber
from sardinetrack.views.borrowed import BorrowedView
from sardinetrack.views.choice import ranked_neighbours
from sardinetrack.views.messages import (
    ClockView,
    SubscribeView,
    UnsubscribeView,
)
from sardinetrack.views.source import DirectFeeds, ViewSource
from sardinetrack.views.watcher import (
    VIEW_WATCH_SECONDS,
    FeedFactory,
    Watcher,
)

CONFIG = 'config/'
SERVERS = 'servers/'
LEAVING = b'leaving'
"""Content of the object of a server that has reported that it leaves."""
_WATCH_GRACE_SECONDS = 0.6
"""How long a client waits for the late response to a watch."""
_RESPONSE_SECONDS = 0.004
_LINK_DELAY_SECONDS = 0.0014
_DIRECT_WATCH_SECONDS = (
    (CONFIG, CONFIGURATION_WATCH_SECONDS),
    (SERVERS, SERVERS_WATCH_SECONDS),
)


class SimulatedStore:
    """The store: its objects, its revision and the calls that it counts."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.removals = {}
        self.calls = Counter()
        self.away = False
        self.losses = Counter()
        """How often the watches that waited for a kind have lost their
        responses, by prefix."""
        self.changed = asyncio.Condition()

    async def write(self, key, content=b'{}'):
        async with self.changed:
            self.revision += 1
            self.objects[key] = StoredObject(key, self.revision, content)
            self.removals.pop(key, None)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            self.objects.pop(key)
            self.removals[key] = StoredObject(
                key, self.revision, b'', deleted=True
            )
            self.changed.notify_all()

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()


class StoreClient:
    """One instance's access to the store."""

    def __init__(self, table, name):
        self.refused = False
        self.silent = False
        self._table = table
        self._name = name

    async def list(self, prefix):
        await self._respond()
        return Listing(self._table.revision, self._under(prefix, 0))

    async def watch(self, prefix, *, after_revision, wait_seconds):
        await self._respond()
        table = self._table
        losses = table.losses[prefix]
        ends_seconds = asyncio.get_running_loop().time() + wait_seconds
        try:
            async with asyncio.timeout(wait_seconds), table.changed:
                await table.changed.wait_for(
                    lambda: (
                        self._changed(prefix, after_revision) or self._fails()
                    ),
                )
        except TimeoutError:
            await self._lose(losses, prefix, ends_seconds)
            return Listing(table.revision, ())
        await self._apply_faults()
        await self._lose(losses, prefix, ends_seconds)
        return Listing(table.revision, self._changed(prefix, after_revision))

    async def _lose(self, losses, prefix, ends_seconds):
        if self._table.losses[prefix] > losses:
            left_seconds = ends_seconds - asyncio.get_running_loop().time()
            await asyncio.sleep(left_seconds + _WATCH_GRACE_SECONDS)
            raise NoResponseError('lost')

    def _changed(self, prefix, after):
        removed = tuple(
            one
            for key, one in self._table.removals.items()
            if key.startswith(prefix) and one.version > after
        )
        return self._under(prefix, after) + removed

    def _under(self, prefix, after):
        return tuple(
            one
            for key, one in self._table.objects.items()
            if key.startswith(prefix) and one.version > after
        )

    def _fails(self):
        return self.refused or self.silent or self._table.away

    async def _respond(self):
        self._table.calls[self._name] += 1
        await asyncio.sleep(_RESPONSE_SECONDS)
        await self._apply_faults()

    async def _apply_faults(self):
        if self.silent:
            await asyncio.sleep(1000)
        if self._fails():
            raise NoResponseError('away')


class Taker(FeedListener):
    """The objects of one kind that an entry has received, and when.

    ``known`` has the version of each object and the time of its arrival.
    """

    def __init__(self, loop):
        self.known = {}
        self.confirmed_seconds = float('-inf')
        self._loop = loop

    def listed(self, listing):
        self.known = {
            one.key: (one.version, self._since(one)) for one in listing.objects
        }

    def changed(self, stored):
        self.known[stored.key] = (stored.version, self._since(stored))

    def confirmed(self, asked_seconds):
        self.confirmed_seconds = max(self.confirmed_seconds, asked_seconds)

    def lost(self, failed_seconds):
        """Do nothing: only the list of servers has a grace period."""

    def returned(self, failed_seconds):
        """Do nothing, as above."""

    def _since(self, one):
        version, since = self.known.get(one.key, (0, 0))
        return since if version == one.version else self._loop.time()


class ServerTaker(Taker):
    """The same for the servers, in the list that decides who gets work."""

    def __init__(self, loop):
        super().__init__(loop)
        self.servers = ServerList()

    def listed(self, listing):
        super().listed(listing)
        self.servers.replace(self._loop.time(), map(_server, listing.objects))

    def changed(self, stored):
        if stored.deleted:
            self.known.pop(stored.key, None)
            self.servers.remove(self._loop.time(), stored.key)
            return
        super().changed(stored)
        self.servers.put(self._loop.time(), _server(stored))

    def confirmed(self, asked_seconds):
        super().confirmed(asked_seconds)
        self.servers.times.confirm(self._loop.time(), asked_seconds)

    def lost(self, failed_seconds):
        self.servers.times.record_failure(failed_seconds)

    def returned(self, failed_seconds):
        self.servers.times.record_failure(failed_seconds)

    def working(self):
        self.servers.expire(self._loop.time())
        return {one.instance for one in self.servers.in_pool('models')}


def _server(stored):
    number = int(stored.key.rpartition('-')[2])
    return BackendServer(
        stored.key,
        'models',
        f'10.1.0.{number}',
        80,
        'galata',
        8,
        stored.value == LEAVING,
        revision=stored.version,
    )


class _SideFeeds(FeedFactory):
    def __init__(self, end, log, clock):
        self._arguments = (end, log, clock)

    def create_feeds(self, mirrors):
        end, log, clock = self._arguments
        way = StoreAccess(end, clock=clock)
        return [
            Feed(way, prefix, mirrors[prefix], log, VIEW_WATCH_SECONDS)
            for prefix in (CONFIG, SERVERS)
        ]


class SimulatedSide:
    """A side that can watch the store for entries."""

    def __init__(self, world, name, domain):
        self.name = name
        self.domain = domain
        self.crashed = False
        self.way = StoreClient(world.table, name)
        clock = world.loop.time
        self.watcher = Watcher(
            _SideFeeds(self.way, world.log, clock),
            (CONFIG, SERVERS),
            world.log,
            clock,
        )

    @property
    def watches(self):
        return bool(self.watcher.subscribers)


class _Link(Neighbour, ViewSubscriber):
    """The connection between one entry and one side, in both directions."""

    def __init__(self, entry, side):
        self._entry = entry
        self._side = side
        self._loop = asyncio.get_running_loop()

    @property
    def name(self):
        return self._side.name

    @property
    def live(self):
        return not self._side.crashed

    def send_message(self, message):
        to_side = isinstance(
            message, SubscribeView | ClockView | UnsubscribeView
        )
        deliver = self._at_side if to_side else self._at_entry
        self._loop.call_later(_LINK_DELAY_SECONDS, deliver, message)

    def _at_entry(self, message):
        if self._side.crashed or self._entry.stopped:
            return
        if self._entry.suspended:
            self._entry.buffer.append((self.name, message))
        else:
            self._entry.source.take(self.name, message)

    def _at_side(self, message):
        watcher = self._side.watcher
        match message:
            case SubscribeView():
                watcher.follow(self, message.stamp_seconds)
            case ClockView():
                watcher.stamp(self, message.stamp_seconds)
            case UnsubscribeView():
                watcher.leave(self)


class SimulatedEntry(NeighbourList):
    """An entry that subscribes to a side's view."""

    def __init__(self, world, name, domain):
        self.stopped = False
        self.suspended = False
        self.buffer = []
        self.way = StoreClient(world.table, name)
        self.links = {one.name: _Link(self, one) for one in world.sides}
        self.takers = {
            CONFIG: Taker(world.loop),
            SERVERS: ServerTaker(world.loop),
        }
        self._domain = domain
        self._world = world
        clock = world.loop.time
        views = {
            prefix: BorrowedView(taker, clock, VIEW_WATCH_SECONDS)
            for prefix, taker in self.takers.items()
        }
        way = StoreAccess(self.way, clock=clock)
        feeds = [
            Feed(way, prefix, views[prefix], world.log, wait)
            for prefix, wait in _DIRECT_WATCH_SECONDS
        ]
        own = DirectFeeds(feeds, way)
        self.source = ViewSource(own, views, self, world.log)
        self.task = world.loop.create_task(self.source.run())

    def ranked(self):
        sides = {
            one.name: one.domain for one in self._world.sides if not one.crashed
        }
        count = len(self._world.entries)
        names = ranked_neighbours(self._domain, count, sides)
        return [self.links[name] for name in names]

    @property
    def age_seconds(self):
        confirmed = self.takers[CONFIG].confirmed_seconds
        return self._world.loop.time() - confirmed

    def stop(self):
        self.stopped = True
        self.task.cancel()
        for name, link in self.links.items():
            side = next(one for one in self._world.sides if one.name == name)
            side.watcher.leave(link)


class ViewWorld:
    """Entries, sides and a store.

    :param log_fileno: receives the log lines of all of them.
    """

    def __init__(self, entries, sides, log_fileno):
        self.loop = asyncio.get_running_loop()
        self.log = EventLog(log_fileno, 'view')
        self.table = SimulatedStore()
        self.table.objects[f'{CONFIG}main'] = StoredObject(
            f'{CONFIG}main',
            1,
            b'{}',
        )
        domains = ('galata', 'asparuhovo', 'kamchia')
        self.sides = [
            SimulatedSide(self, f'10.0.0.{one}', domains[one % 3])
            for one in range(sides)
        ]
        self.entries = []
        for one in range(entries):
            node = SimulatedEntry(self, f'entry-{one}', domains[one % 3])
            self.entries.append(node)

    @property
    def watcher(self):
        return max(self.sides, key=lambda side: side.watcher.subscribers)

    def kill(self, side):
        side.crashed = True
        for entry in self.entries:
            entry.source.lost(side.name)
            side.watcher.leave(entry.links[side.name])

    async def change(self):
        await self.table.write(f'{CONFIG}main')
        return self.loop.time()

    def worst_delay(self, version, since):
        """Return how long the slowest entry took to receive a version.

        :param since: when it was written, on the loop's clock.
        :return: seconds.
        """
        delays = []
        for entry in self.entries:
            known, at = entry.takers[CONFIG].known[f'{CONFIG}main']
            assert known >= version, (known, version)
            delays.append(at - since)
        return max(delays)
