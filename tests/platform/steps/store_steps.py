"""Steps for the client of the platform's store."""

from __future__ import annotations

import asyncio
import re

from behave import given, then, when
from tests.support.loop_tasks import cancel_other_tasks
from tests.support.object_store import ObjectStore

from sardinetrack.platform.store import PlatformStore
from sardinetrack.store.api import (
    ConflictError,
    ThrottledError,
    UnavailableError,
    UncertainError,
    WatchLostError,
)

_PREFIX = 'servers/'
_ERRORS = (
    ('unavailable', UnavailableError),
    ('throttled', ThrottledError),
)


@given('a store with {count:d} server')
@given('a store with {count:d} servers')
def open_store(context, count):
    context.loop = asyncio.new_event_loop()
    context.store = ObjectStore()
    _run(context, context.store.open())
    for number in range(count):
        context.store.put('servers', f'i-{number}', {'slots': number})
    context.client = PlatformStore(('127.0.0.1', context.store.port))
    context.add_cleanup(_close, context)


def _close(context):
    async def close():
        await context.store.close()
        await cancel_other_tasks()

    _run(context, close())
    context.loop.close()


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def _watch(context, wait_seconds, make_change):
    revision = (await context.client.list(_PREFIX)).revision
    loop = asyncio.get_running_loop()
    loop.call_later(0.1, make_change)
    began = loop.time()
    try:
        context.changes = await context.client.watch(
            _PREFIX,
            after_revision=revision,
            wait_seconds=wait_seconds,
        )
    except WatchLostError as error:
        context.error = error
    context.took_seconds = loop.time() - began


@when('{name} is {change} after the first page of a list was read')
def change_between_pages(context, name, change):
    store = context.store
    store.page_seconds = 0.1

    async def list_all():
        loop = asyncio.get_running_loop()
        if change == 'written':
            loop.call_later(0.15, store.put, 'servers', name, {'slots': 9})
        else:
            loop.call_later(0.15, store.drop, 'servers', name)
        return await context.client.list(_PREFIX)

    context.listing = _run(context, list_all())


@then('a watch from that list returns the change of {name}')
def watch_returns(context, name):
    changes = _run(
        context,
        context.client.watch(
            _PREFIX,
            after_revision=context.listing.revision,
            wait_seconds=0.2,
        ),
    )
    names = [one.key for one in changes.objects]
    assert names == [f'{_PREFIX}{name}'], names


@when('a server is added while the client watches')
def add_server(context):
    def make_change():
        context.store.put('servers', 'i-new', {})

    _run(context, _watch(context, 2, make_change))


@when('another writer stores {text} as {name} while the client watches')
def store_text(context, text, name):
    depth = re.fullmatch(r'nested (\d+) deep', text)
    raw = re.sub(
        r'\\x(..)', lambda found: chr(int(found.group(1), 16)), text
    ).encode('latin-1')
    if depth:
        count = int(depth.group(1))
        raw = b'%b%b' % (b'[' * count, b']' * count)
    context.raw = raw

    def make_change():
        context.store.put_text('servers', name, raw)

    _run(context, _watch(context, 2, make_change))


@when('{name} is removed while the client watches')
def remove_server(context, name):
    def make_change():
        context.store.remove('servers', name)

    _run(context, _watch(context, 2, make_change))


@then('each of them has the content that was stored')
def have_content(context):
    listing = _run(context, context.client.list(_PREFIX))
    contents = {one.key: one.value for one in listing.objects}
    assert contents.pop('servers/i-4a') == context.raw
    assert list(contents.values()) == [
        b'{"slots": %d}' % number for number in range(7)
    ]


@when('the client watches for {seconds:g} seconds and nothing changes')
def watch_unchanged(context, seconds):
    _run(context, _watch(context, seconds, int))


@when('the history is discarded while the client watches')
def discard_history(context):
    def make_change():
        context.store.put('other', 'x', {})
        context.store.compact()

    _run(context, _watch(context, 2, make_change))


@when('the store has the fault {fault}')
def set_fault(context, fault):
    context.store.fault = fault


@when('responses to writes are lost')
def lose_writes(context):
    context.store.writes_lost = True


@when('two writers replace the same revision')
def write_concurrently(context):
    async def write_both():
        stored = await context.client.get('servers/i-0')
        writes = [
            context.client.put(
                'servers/i-0',
                b'{"writer":%d}' % number,
                expected_version=stored.version,
            )
            for number in range(2)
        ]
        return await asyncio.gather(*writes, return_exceptions=True)

    context.outcomes = _run(context, write_both())


@then('the client lists {count:d} objects')
def lists_objects(context, count):
    listing = _run(context, context.client.list(_PREFIX))
    assert len(listing.objects) == count
    assert listing.revision == context.store.revision


@then('the watch returns {count:d} change within {seconds:g} seconds')
@then('the watch returns {count:d} changes within {seconds:g} seconds')
def watch_returns(context, count, seconds):
    assert len(context.changes.objects) == count
    assert context.changes.revision == context.store.revision
    assert context.took_seconds < seconds


@then('the client reports that the watch is lost')
def watch_is_lost(context):
    assert isinstance(context.error, WatchLostError)


@then('a list fails because the store is {reason}')
def list_fails(context, reason):
    expected = dict(_ERRORS)[reason]
    try:
        _run(context, context.client.list(_PREFIX))
    except expected:
        return
    raise AssertionError('the list succeeded')


@then('within {seconds:g} seconds a list fails because the store is {reason}')
def list_fails_in_time(context, seconds, reason):
    began = context.loop.time()
    list_fails(context, reason)
    assert context.loop.time() - began < seconds


@then('a write is uncertain, and its value is in the store')
def write_uncertain(context):
    try:
        _run(
            context,
            context.client.put('servers/i-0', b'{}', expected_version=None),
        )
    except UncertainError:
        stored = _run(context, context.client.get('servers/i-0'))
        assert stored.value == b'{}'
        return
    raise AssertionError('the write succeeded')


@then('one of them receives the current version')
def one_receives_current(context):
    rejected = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome, ConflictError)
    ]
    accepted = [
        outcome for outcome in context.outcomes if outcome not in rejected
    ]
    assert len(rejected) == 1, context.outcomes
    assert rejected[0].current.version == accepted[0].version
