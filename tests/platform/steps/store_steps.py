"""Steps for the client of the platform's store."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from tests.support.object_store import ObjectStore

from sardinetrack.platform.store import PlatformStore
from sardinetrack.store.api import (
    ConflictError,
    ThrottledError,
    UnavailableError,
    UncertainError,
    WatchLostError,
)

_KIND = 'servers/'
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
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    _run(context, close())
    context.loop.close()


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def _watch(context, wait_seconds, act):
    revision = (await context.client.list(_KIND)).revision
    loop = asyncio.get_running_loop()
    loop.call_later(0.1, act)
    began = loop.time()
    try:
        context.changes = await context.client.watch(
            _KIND,
            after_revision=revision,
            wait_seconds=wait_seconds,
        )
    except WatchLostError as error:
        context.error = error
    context.took_seconds = loop.time() - began


@when('a server is added while the client watches')
def add_server(context):
    def act():
        context.store.put('servers', 'i-new', {})

    _run(context, _watch(context, 2, act))


@when('the client watches for {seconds:g} seconds and nothing changes')
def watch_calm(context, seconds):
    _run(context, _watch(context, seconds, int))


@when('the history is forgotten while the client watches')
def forget(context):
    def act():
        context.store.put('other', 'x', {})
        context.store.compact()

    _run(context, _watch(context, 2, act))


@when('the store answers {fault}')
def set_fault(context, fault):
    context.store.fault = fault


@when('answers to writes are lost')
def lose_writes(context):
    context.store.writes_lost = True


@when('two writers replace the same revision')
def race(context):
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

    context.ends = _run(context, write_both())


@then('the client lists {count:d} objects')
def lists(context, count):
    listing = _run(context, context.client.list(_KIND))
    assert len(listing.objects) == count
    assert listing.revision == context.store.revision


@then('the watch tells {count:d} change within {seconds:g} seconds')
@then('the watch tells {count:d} changes within {seconds:g} seconds')
def tells(context, count, seconds):
    assert len(context.changes.objects) == count
    assert context.changes.revision == context.store.revision
    assert context.took_seconds < seconds


@then('the client says the watch is lost')
def is_lost(context):
    assert isinstance(context.error, WatchLostError)


@then('a list says the store is {said}')
def list_fails(context, said):
    expected = dict(_ERRORS)[said]
    try:
        _run(context, context.client.list(_KIND))
    except expected:
        return
    raise AssertionError('the list was answered')


@then('within {seconds:g} seconds a list says the store is {said}')
def list_fails_in_time(context, seconds, said):
    began = context.loop.time()
    list_fails(context, said)
    assert context.loop.time() - began < seconds


@then('a write is uncertain, and stands in the store')
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
    raise AssertionError('the write was answered')


@then('one of them is told what stands there')
def one_is_told(context):
    lost = [end for end in context.ends if isinstance(end, ConflictError)]
    won = [end for end in context.ends if end not in lost]
    assert len(lost) == 1, context.ends
    assert lost[0].current.version == won[0].version
