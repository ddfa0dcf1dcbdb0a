"""Steps for feeds, on a scripted store without a network."""

from __future__ import annotations

import asyncio
import json
import os
from unittest import mock

from behave import given, then, when

from sardinetrack.logs.events import EventLog
from sardinetrack.store.api import (
    Listing,
    NoResponseError,
    StoredObject,
    WatchLostError,
)
from sardinetrack.topology.feed import Feed, FeedListener
from sardinetrack.topology.outage import StoreAccess

_PREFIX = 'things/'


class _Listener(FeedListener):
    def __init__(self, store):
        self.store = store
        self.names = set()
        self.confirmed_in_outage = 0
        self.fails_when = ''

    def listed(self, listing):
        self._fail('everything is listed')
        self.names = {stored.key for stored in listing.objects}

    def changed(self, stored):
        self._fail('an object changes')
        self.names.add(stored.key)

    def _fail(self, now):
        if self.fails_when == now:
            self.fails_when = ''
            raise RecursionError(now)

    def confirmed(self, asked_seconds):
        self.confirmed_in_outage += self.store.failing_calls > 0

    def lost(self, failed_seconds):
        """Do nothing: the objects here have no age."""

    def returned(self, failed_seconds):
        """Do nothing, as above."""


class _Store:
    """Objects in memory; watches end when something changes."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.oldest = 0
        self.failing_calls = 0
        self.changed = asyncio.Event()

    def write(self, name):
        self.revision += 1
        key = f'{_PREFIX}{name}'
        self.objects[key] = StoredObject(key, self.revision, b'{}')
        self.changed.set()

    async def list(self, prefix):
        self._respond()
        return Listing(self.revision, tuple(self.objects.values()))

    async def watch(self, prefix, *, after_revision, wait_seconds):
        self._respond()
        if after_revision >= self.revision:
            self.changed.clear()
            await self.changed.wait()
        self._respond()
        if after_revision < self.oldest:
            raise WatchLostError('gone')
        newer = [
            stored
            for stored in self.objects.values()
            if stored.version > after_revision
        ]
        return Listing(self.revision, tuple(newer))

    def _respond(self):
        if self.failing_calls:
            self.failing_calls -= 1
            raise NoResponseError('silent')


@given('a feed on a store with object {name}')
def open_feed(context, name):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    pipe = os.pipe()
    context.log_read = pipe[0]
    context.log = EventLog(pipe[1], 'entry-1')
    context.store = _Store()
    context.store.write(name)
    context.listener = _Listener(context.store)


@given('a listener that fails once when {fault}')
def fail_once(context, fault):
    context.listener.fails_when = fault
    patch = mock.patch(f'{Feed.__module__}.FAULT_BACKOFF_SECONDS', 0.01)
    patch.start()
    context.add_cleanup(patch.stop)


def _play(context, act, seconds):
    async def play():
        feed = Feed(
            StoreAccess(context.store),
            _PREFIX,
            context.listener,
            context.log,
            1,
        )
        task = asyncio.ensure_future(feed.run())
        await asyncio.sleep(0.01)
        act()
        context.store.changed.set()
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.loop.run_until_complete(play())


@when('object {name} is written')
def write(context, name):
    _play(context, lambda: context.store.write(name), 0.05)


@when(
    'object {name} is written and the history dropped at the same time',
)
def write_and_drop(context, name):
    def act():
        context.store.write(name)
        context.store.oldest = context.store.revision

    _play(context, act, 0.05)


@when('the store does not respond to {calls:d} calls')
def fail_calls(context, calls):
    def act():
        context.store.failing_calls = calls

    _play(context, act, 1.5)


@then('the listener has {first} and {second}')
def has_both(context, first, second):
    expected = {f'{_PREFIX}{first}', f'{_PREFIX}{second}'}
    assert context.listener.names == expected, context.listener.names


@then('the listener has {name}')
def has_one(context, name):
    assert context.listener.names == {f'{_PREFIX}{name}'}


def _logged(context):
    context.log.flush()
    lines = os.read(context.log_read, 100_000).splitlines()
    return [json.loads(line)['event'] for line in lines]


@then('the log has one fault')
def logged_fault(context):
    assert _logged(context) == ['fault']


@then('the log has one loss and one return')
def logged_once(context):
    events = _logged(context)
    assert events == ['store_lost', 'store_back'], events


@then('nothing was confirmed during the outage')
def not_confirmed(context):
    assert not context.listener.confirmed_in_outage
