"""Steps on the feed of the catalogue from the platform."""

from __future__ import annotations

import random
from contextlib import ExitStack
from functools import partial

import anyio
from anyio.from_thread import start_blocking_portal
from behave import given, step, then, when
from histories import row

from sardinetrack.catalogue.feed import CatalogueFeed
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.store.api import (
    Listing,
    NoAnswerError,
    ThrottledError,
    UnavailableError,
)
from sardinetrack.store.backoff import Backoff
from sardinetrack.store.in_process import Disturbance, MemoryPlatform
from sardinetrack.store.memory import MemoryStore

_PILOT = 'catalogue/workspace/pilot'
_STEP_SECONDS = 0.02
_STEPS = 500
_FIRST_SECONDS = 0.1
_TOLD_SECONDS = 1.5


class _OddPlatform(MemoryPlatform):
    """A platform whose watches may repeat or break."""

    def __init__(self):
        """Start without a fault; remember few changes."""
        super().__init__(MemoryStore(history_events=20))
        self.fault = ''

    async def watch(self, prefix, *, after_revision, wait_seconds):
        """Watch, and spoil what it brings."""
        bound_seconds = 0 if 'at once' in self.fault else wait_seconds
        seen = await super().watch(
            prefix, after_revision=after_revision, wait_seconds=bound_seconds
        )
        if self.fault == 'break' and seen.objects:
            self.fault = ''
            raise UnavailableError('cut off')
        if self.fault == 'always break' and seen.objects:
            raise NoAnswerError('cut off')
        if self.fault == 'repeat old news at once':
            return Listing(after_revision, self.store.list(prefix).objects)
        if self.fault == 'repeat':
            every = self.store.changes(10**9, prefix, 0).objects
            return Listing(seen.revision, (*seen.objects, *every))
        return seen


@given('a platform with workspace "pilot" at a node that follows it')
def follow(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.portal = stack.enter_context(start_blocking_portal())
    context.platform = _OddPlatform()
    context.view = CatalogueView()
    context.owners = []
    _write(context, _PILOT, 'first')
    send, receive = anyio.create_memory_object_stream(0)
    context.feed = CatalogueFeed(
        context.platform, send, watch_seconds=0.1, chance=random.Random(1)
    )
    for task in (context.feed.run, partial(_consume, context, receive)):
        future = context.portal.start_task_soon(task)
        stack.callback(future.cancel)
    in_force(context, 'first', 'pilot')


async def _consume(context, receive):
    async with receive:
        async for update in receive:
            if context.view.apply(update):
                context.owners.extend(_owners(context).values())


def _owners(context):
    return {one.name: one.owner for one in context.view.workspaces()}


def _write(context, key, owner):
    value = row(key, 1, owner=owner).value.encode()
    write = partial(context.platform.put, key, value, expected_version=None)
    context.portal.call(write)


def _until(context, condition):
    for _ in range(_STEPS):
        if condition():
            return
        context.portal.call(anyio.sleep, _STEP_SECONDS)
    raise AssertionError(_owners(context))


@when('workspace "pilot" is given to "{owner}"')
def give(context, owner):
    _write(context, _PILOT, owner)


@then('"{owner}" comes into force for "{name}"')
def in_force(context, owner, name):
    _until(context, lambda: _owners(context).get(name) == owner)


@then('"{owner}" stays in force for "{name}"')
def stays(context, owner, name):
    assert _owners(context) == {name: owner}
    assert context.owners == [owner]


@step('the feed has listed {count:d} time')
@step('the feed has listed {count:d} times')
def has_listed(context, count):
    assert context.feed.calls.lists == count, context.feed.calls


@when('the platform goes down and {count:d} calls have failed')
def down(context, count):
    context.portal.call(context.platform.disturb, Disturbance(outage=True))
    _until(context, lambda: context.feed.calls.failures >= count)


@when('the platform is back and workspace "pilot" is given to "{owner}"')
def back(context, owner):
    context.portal.call(context.platform.disturb, Disturbance())
    _write(context, _PILOT, owner)


@when('workspace "pilot" is deleted and {count:d} others are written meanwhile')
def meanwhile(context, count):
    context.portal.call(_rewrite, context, count)


async def _rewrite(context, count):
    store = context.platform.store
    store.delete(0, _PILOT, store.get(_PILOT).version)
    for number in range(count):
        key = f'catalogue/workspace/w{number}'
        store.put(0, key, row(key, 1).value.encode(), None)
    context.platform.disturb(Disturbance())


@then('{count:d} workspaces come into force and "pilot" is gone')
def come(context, count):
    _until(context, lambda: len(_owners(context)) == count)
    assert 'pilot' not in _owners(context)


@when('the watches {fault}')
def spoil(context, fault):
    if fault == 'lag':
        lagging = Disturbance(watch_lag_seconds=0.3)
        context.portal.call(context.platform.disturb, lagging)
    else:
        context.platform.fault = fault


@step('no owner came into force twice')
def not_twice(context):
    assert len(set(context.owners)) == len(context.owners), context.owners


@then('less than {count:d} watches are made in {seconds:f} seconds')
def few_watches(context, count, seconds):
    before = context.feed.calls.watches
    context.portal.call(anyio.sleep, seconds)
    assert context.feed.calls.watches - before < count


@when('a call fails {count:d} times in a row with {seeds:d} seeds')
def fail_often(context, count, seeds):
    context.pauses = []
    for seed in range(seeds):
        backoff = Backoff(random.Random(seed))
        error = UnavailableError('down')
        context.pauses.append(
            [backoff.wait_seconds(error) for _ in range(count)]
        )


@then('no pause is longer than 1 second and the first is at most 0.1 seconds')
def bounded(context):
    assert max(max(row) for row in context.pauses) <= 1
    assert max(row[0] for row in context.pauses) <= _FIRST_SECONDS


@then('a throttled call waits at least as long as told but at most 2 seconds')
def throttled(context):
    backoff = Backoff(random.Random(3))
    short = backoff.wait_seconds(ThrottledError(_TOLD_SECONDS))
    assert short >= _TOLD_SECONDS, short
    assert backoff.wait_seconds(ThrottledError(60)) <= 2
