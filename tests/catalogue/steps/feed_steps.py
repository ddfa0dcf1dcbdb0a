"""Steps for the feed of the catalogue from the platform."""

from __future__ import annotations

import random
from contextlib import ExitStack
from functools import partial

import anyio
from anyio.from_thread import start_blocking_portal
from behave import given, step, then, when
from histories import config_object

from sardinetrack.catalogue.feed import CatalogueFeed
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.store.api import (
    Listing,
    NoResponseError,
    ThrottledError,
    UnavailableError,
)
from sardinetrack.store.backoff import Backoff
from sardinetrack.store.in_process import InjectedFaults, MemoryPlatform
from sardinetrack.store.memory import MemoryStore

_PILOT = 'catalogue/workspace/pilot'
_POLL_INTERVAL_SECONDS = 0.02
_MAX_POLLS = 500
_FIRST_SECONDS = 0.1
_REQUESTED_SECONDS = 1.5


class _FaultyWatchPlatform(MemoryPlatform):
    """A platform whose watches may repeat or fail."""

    def __init__(self):
        """Keep few changes and start without a fault."""
        super().__init__(MemoryStore(history_events=20))
        self.fault = ''

    async def watch(self, prefix, *, after_revision, wait_seconds):
        """Watch, and apply the fault to the result."""
        bound_seconds = 0 if 'without delay' in self.fault else wait_seconds
        listing = await super().watch(
            prefix, after_revision=after_revision, wait_seconds=bound_seconds
        )
        if self.fault == 'break' and listing.objects:
            self.fault = ''
            raise UnavailableError('connection closed')
        if self.fault == 'always break' and listing.objects:
            raise NoResponseError('connection closed')
        if self.fault == 'repeat known changes without delay':
            return Listing(after_revision, self.store.list(prefix).objects)
        if self.fault == 'repeat':
            all_changes = self.store.changes(10**9, prefix, 0).objects
            return Listing(listing.revision, (*listing.objects, *all_changes))
        return listing


@given('a platform with workspace "pilot" and an instance that follows it')
def follow(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.portal = stack.enter_context(start_blocking_portal())
    context.platform = _FaultyWatchPlatform()
    context.view = CatalogueView()
    context.owners = []
    _write(context, _PILOT, 'first')
    send, receive = anyio.create_memory_object_stream(0)
    context.feed = CatalogueFeed(
        context.platform, send, watch_seconds=0.1, rng=random.Random(1)
    )
    for task in (context.feed.run, partial(_consume, context, receive)):
        future = context.portal.start_task_soon(task)
        stack.callback(future.cancel)
    becomes_active(context, 'first', 'pilot')


async def _consume(context, receive):
    async with receive:
        async for update in receive:
            if context.view.apply(update):
                context.owners.extend(_owners(context).values())


def _owners(context):
    return {one.name: one.owner for one in context.view.workspaces()}


def _write(context, key, owner):
    value = config_object(key, 1, owner=owner).value.encode()
    write = partial(context.platform.put, key, value, expected_version=None)
    context.portal.call(write)


def _until(context, condition):
    for _ in range(_MAX_POLLS):
        if condition():
            return
        context.portal.call(anyio.sleep, _POLL_INTERVAL_SECONDS)
    raise AssertionError(_owners(context))


@when('workspace "pilot" is given to "{owner}"')
def change_owner(context, owner):
    _write(context, _PILOT, owner)


@then('workspace "{name}" becomes active with owner "{owner}"')
def becomes_active(context, owner, name):
    _until(context, lambda: _owners(context).get(name) == owner)


@then('workspace "{name}" stays active with owner "{owner}"')
def stays_active(context, owner, name):
    assert _owners(context) == {name: owner}
    assert context.owners == [owner]


@step('the feed has listed {count:d} time')
@step('the feed has listed {count:d} times')
def has_listed(context, count):
    assert context.feed.calls.lists == count, context.feed.calls


@when('the platform becomes unavailable and {count:d} calls have failed')
def make_unavailable(context, count):
    context.portal.call(
        context.platform.apply_faults, InjectedFaults(outage=True)
    )
    _until(context, lambda: context.feed.calls.failures >= count)


@when(
    'the platform is available again'
    ' and workspace "pilot" is given to "{owner}"'
)
def make_available(context, owner):
    context.portal.call(context.platform.apply_faults, InjectedFaults())
    _write(context, _PILOT, owner)


@when(
    'during that time workspace "pilot" is deleted'
    ' and {count:d} others are written'
)
def rewrite_during_outage(context, count):
    context.portal.call(_rewrite, context, count)


async def _rewrite(context, count):
    store = context.platform.store
    store.delete(0, _PILOT, store.get(_PILOT).version)
    for number in range(count):
        key = f'catalogue/workspace/w{number}'
        store.put(0, key, config_object(key, 1).value.encode(), None)
    context.platform.apply_faults(InjectedFaults())


@then('{count:d} workspaces become active and "pilot" is removed')
def become_active(context, count):
    _until(context, lambda: len(_owners(context)) == count)
    assert 'pilot' not in _owners(context)


@when('the watches {fault}')
def set_fault(context, fault):
    if fault == 'lag':
        lagging = InjectedFaults(watch_lag_seconds=0.3)
        context.portal.call(context.platform.apply_faults, lagging)
    else:
        context.platform.fault = fault


@step('no owner became active twice')
def not_twice(context):
    assert len(set(context.owners)) == len(context.owners), context.owners


@then('less than {count:d} watches are made in {seconds:f} seconds')
def few_watches(context, count, seconds):
    before = context.feed.calls.watches
    context.portal.call(anyio.sleep, seconds)
    assert context.feed.calls.watches - before < count


@when('a call fails {count:d} consecutive times with {seeds:d} seeds')
def fail_often(context, count, seeds):
    context.delays = []
    for seed in range(seeds):
        backoff = Backoff(random.Random(seed))
        error = UnavailableError('down')
        context.delays.append(
            [backoff.next_delay_seconds(error) for _ in range(count)]
        )


@then('no delay is longer than 1 second and the first is at most 0.1 seconds')
def bounded(context):
    assert max(max(series) for series in context.delays) <= 1
    assert max(series[0] for series in context.delays) <= _FIRST_SECONDS


@then(
    'a throttled call waits at least the requested delay but at most 2 seconds'
)
def throttled(context):
    backoff = Backoff(random.Random(3))
    delay_seconds = backoff.next_delay_seconds(
        ThrottledError(_REQUESTED_SECONDS)
    )
    assert delay_seconds >= _REQUESTED_SECONDS, delay_seconds
    assert backoff.next_delay_seconds(ThrottledError(60)) <= 2
