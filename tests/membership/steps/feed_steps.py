"""Steps for the list of instances."""

from __future__ import annotations

import random
from contextlib import ExitStack
from functools import partial
from types import MappingProxyType

import anyio
from anyio.from_thread import start_blocking_portal
from behave import given, step, then, when

from sardinetrack.membership.api import (
    InstanceJoined,
    InstanceLeaving,
    InstanceRemoved,
)
from sardinetrack.membership.feed import MembershipFeed
from sardinetrack.membership.view import MembershipView
from sardinetrack.store.api import InstanceState, ListedInstance
from sardinetrack.store.in_process import InjectedFaults, MemoryPlatform

_POLL_INTERVAL_SECONDS = 0.02
_MAX_POLLS = 500
_KINDS = MappingProxyType(
    {
        InstanceJoined: 'joined',
        InstanceLeaving: 'leaving',
        InstanceRemoved: 'removed',
    }
)


def _row(name, state='live', address='127.0.0.1:1'):
    return ListedInstance(
        name, 'side', address, 'galata', state=InstanceState(state)
    )


def _rows(text):
    words = [row.split() for row in text.split(', ') if row]
    return [_row(*row) for row in words]


def _names(rows):
    return ', '.join(sorted(row.instance for row in rows))


def _describe(changes):
    kinds = [_KINDS[type(change)] for change in changes]
    names = [change.row.instance for change in changes]
    return ', '.join(map(' '.join, zip(kinds, names, strict=True)))


@given('a membership view')
def view(context):
    context.view = MembershipView()


@when('the list shows "{rows}"')
def shows(context, rows):
    context.changes = context.view.update(_rows(rows))


@when('the list shows ""')
def shows_nothing(context):
    shows(context, '')


@then('the changes are "{expected}"')
def changes_are(context, expected):
    assert _describe(context.changes) == expected, context.changes


@then('the changes are ""')
def no_changes(context):
    changes_are(context, '')


@step('live are "{names}"')
def live_are(context, names):
    assert _names(context.view.live()) == names, context.view.live()


@step('live are ""')
def none_live(context):
    live_are(context, '')


@given('{count:d} random sequences of lists')
def sequences(context, count):
    context.sequences = [
        _sequence(random.Random(seed)) for seed in range(count)
    ]


def _sequence(rng):
    names = ['a', 'b', 'c', 'd']
    return [
        [
            _row(name, rng.choice(['live', 'live', 'live', 'leaving']))
            for name in rng.sample(names, rng.randint(0, 4))
        ]
        for _ in range(12)
    ]


@then('after each list the live ones are those listed live that never left')
def never_back(context):
    context.comparisons = []
    for sequence in context.sequences:
        view = MembershipView()
        left = set()
        listed = set()
        for rows in sequence:
            changes = view.update(rows)
            left |= {row.instance for row in rows if row.state == 'leaving'}
            wanted = {row.instance for row in rows} - left
            assert {row.instance for row in view.live()} == wanted, sequence
            listed = _add_up(listed, changes)
            context.comparisons.append((listed - left, wanted))


def _add_up(listed, changes):
    for change in changes:
        if isinstance(change, InstanceRemoved):
            listed = listed - {change.row.instance}
        elif isinstance(change, InstanceJoined):
            listed = listed | {change.row.instance}
    return listed


@step('the changes add up to the list')
def add_up(context):
    for listed, wanted in context.comparisons:
        assert listed == wanted, (listed, wanted)


@given('a feed of a platform that lists "{names}"')
def feed(context, names):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.portal = stack.enter_context(start_blocking_portal())
    context.platform = MemoryPlatform()
    for name in names.split(', '):
        context.platform.set_instance(_row(name))
    context.sent = []
    send, receive = anyio.create_memory_object_stream(0)
    context.feed = MembershipFeed(
        context.platform, send, poll_seconds=0.05, rng=random.Random(1)
    )
    for task in (context.feed.run, partial(_consume, context, receive)):
        stack.callback(context.portal.start_task_soon(task).cancel)
    _wait_until(context, lambda: len(context.sent) == len(names.split(', ')))


async def _consume(context, receive):
    async with receive:
        async for change in receive:
            context.sent.append(change)


def _wait_until(context, condition):
    for _ in range(_MAX_POLLS):
        if condition():
            return
        context.portal.call(anyio.sleep, _POLL_INTERVAL_SECONDS)
    raise AssertionError(context.sent)


@when("the list's platform goes down and {count:d} polls have failed")
def platform_down(context, count):
    context.portal.call(
        context.platform.apply_faults, InjectedFaults(outage=True)
    )
    _wait_until(context, lambda: context.feed.failures >= count)


@then('live at the feed are "{names}"')
def live_at_feed(context, names):
    assert _names(context.feed.view.live()) == names


@step('the feed has sent "{expected}"')
def feed_sent(context, expected):
    assert _describe(context.sent) == expected, context.sent


@when('the platform is back and lists "e1" only')
def platform_back(context):
    context.platform.remove_instance('s1')
    context.portal.call(context.platform.apply_faults, InjectedFaults())


@then('the feed finally sends "{expected}"')
def feed_sends(context, expected):
    _wait_until(context, lambda: _describe(context.sent[-1:]) == expected)
