"""Steps for the stand-in of the platform and its client."""

from __future__ import annotations

from contextlib import ExitStack
from functools import partial

import anyio
import msgspec
from anyio.from_thread import start_blocking_portal
from behave import given, step, then, when

from sardinetrack.http.client import HttpClient
from sardinetrack.http.server import serve
from sardinetrack.standin.platform import PlatformStandin
from sardinetrack.store.api import (
    MAX_VALUE_BYTES,
    ConflictError,
    ListedInstance,
    PlatformError,
)
from sardinetrack.store.http import HttpPlatform
from sardinetrack.store.in_process import MemoryPlatform
from sardinetrack.store.memory import MemoryStore

_TOKEN = 'platform-token'
_HISTORY_EVENTS = 4
_LISTED = ListedInstance('e1', 'entry', '127.0.0.1:1', 'galata')


@given('a stand-in of the platform and a client of it')
def open_client(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.portal = stack.enter_context(start_blocking_portal())
    enter = context.portal.wrap_async_context_manager
    store = MemoryStore(history_events=_HISTORY_EVENTS)
    context.standin = PlatformStandin(_TOKEN, MemoryPlatform(store))
    context.http = stack.enter_context(enter(HttpClient()))
    context.server_stack = stack.enter_context(ExitStack())
    context.server = context.server_stack.enter_context(
        enter(serve(context.standin, '127.0.0.1', 0))
    )
    context.platform = _client(context, _TOKEN)
    context.written = []


def _client(context, token):
    return HttpPlatform(
        context.http, context.server.url, token, call_timeout_seconds=0.5
    )


def _call_standin(context, method, path, body=b''):
    call = partial(
        context.http.call,
        method,
        context.server.url + path,
        headers=[('authorization', f'Bearer {_TOKEN}')],
        body=body,
    )
    response = context.portal.call(call)
    assert response.status in {200, 204}, response
    return response.body


def _put(context, key, text, version):
    write = partial(
        context.platform.put, key, text.encode(), expected_version=version
    )
    stored = context.portal.call(write)
    context.written.append(stored.version)
    return stored


def _delete(context, key, version):
    delete_object = partial(
        context.platform.delete, key, expected_version=version
    )
    context.portal.call(delete_object)


def _get(context, key):
    return context.portal.call(context.platform.get, key)


@step('"{key}" is created with "{text}"')
def create(context, key, text):
    _put(context, key, text, 0)


@when('"{key}" is replaced with "{text}" if its version is unchanged')
def replace(context, key, text):
    _put(context, key, text, _get(context, key).version)


@when('"{key}" is deleted if its version is unchanged')
def delete(context, key):
    _delete(context, key, _get(context, key).version)


@then('the list of "{prefix}" contains only "{key}" with "{text}"')
def listed(context, prefix, key, text):
    listing = context.portal.call(context.platform.list, prefix)
    rows = [(row.key, row.value.decode()) for row in listing.objects]
    assert rows == [(key, text)], rows
    assert listing.revision == 4, listing


@then('each write got a greater version than the one before')
def versions_increase(context):
    assert context.written == sorted(set(context.written))


@then('a read of "{key}" finds nothing')
def finds_nothing(context, key):
    assert _get(context, key) is None


@then('a read of "{key}" finds "{text}"')
def finds(context, key, text):
    assert _get(context, key).value.decode() == text


@then('a read of "{key}" eventually finds "{text}"')
def eventually_finds(context, key, text):
    for _ in range(100):
        stored = _get(context, key)
        if stored:
            break
        context.portal.call(anyio.sleep, 0.02)
    assert stored.value.decode() == text


@when('two writers replace the same version of "{key}"')
def replace_concurrently(context, key):
    context.old_version = _get(context, key).version
    context.portal.call(_write_both, context, key)


async def _write_both(context, key):
    context.outcomes = []

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_write, context, key, b'left')
        tasks.start_soon(_write, context, key, b'right')


async def _write(context, key, text):
    try:
        stored = await context.platform.put(
            key, text, expected_version=context.old_version
        )
    except ConflictError as error:
        stored = error
    context.outcomes.append(stored)


@then('one write succeeds and the other receives the current version')
def one_succeeds(context):
    errors = [row for row in context.outcomes if isinstance(row, ConflictError)]
    stored = [row for row in context.outcomes if row not in errors]
    assert len(errors) == len(stored) == 1, context.outcomes
    assert errors[0].current == stored[0], context.outcomes
    context.accepted = stored[0]


@then('a create of "{key}" receives the current version')
def create_refused(context, key):
    _record_error(context, partial(_put, context, key, 'x', 0))
    assert context.error.current == context.accepted


@then('a delete of the old version of "{key}" receives the current version')
def delete_refused(context, key):
    _record_error(context, partial(_delete, context, key, context.old_version))
    assert context.error.current == context.accepted


def _record_error(context, call):
    context.error = None
    try:
        call()
    except PlatformError as error:
        context.error = error


@step('the faults {faults}')
def set_faults(context, faults):
    body = faults.removeprefix('are ').encode()
    _call_standin(context, 'PUT', '/faults', body)


@when('"{key}" is put with "{text}" and the error is recorded')
def put_recorded(context, key, text):
    _record_error(context, partial(_put, context, key, text, None))


@when('the call "{call}" is made and the error is recorded')
def call_recorded(context, call):
    for key in 'opqrst':
        if call == 'an old watch':
            _put(context, key, 'x', 0)
    for _ in range(2):
        made = partial(context.portal.call, _call_named(context, call))
        _record_error(context, made)


def _call_named(context, call):
    platform = context.platform
    put = partial(platform.put, 'k', expected_version=None)
    watch = partial(platform.watch, 'a/', wait_seconds=0.1)
    return {
        'a put': partial(put, b'v'),
        'a large put': partial(put, b'x' * (MAX_VALUE_BYTES + 1)),
        'a get': partial(platform.get, 'k'),
        'a list': partial(platform.list, 'k'),
        'an instances': platform.instances,
        'a watch': partial(watch, after_revision=0),
        'an old watch': partial(watch, after_revision=1),
    }[call]


@then('the error is {name}')
def error_is(context, name):
    assert type(context.error).__name__ == name, repr(context.error)


@when('the platform stops before a put')
def stop_platform(context):
    context.server_stack.close()
    call_recorded(context, 'a put')


@when('a get is made with a wrong token')
def use_wrong_token(context):
    context.platform = _client(context, 'foreign')
    call_recorded(context, 'a get')


@when('a watch waits while "{key}" is created with "{text}"')
def watch_create(context, key, text):
    _watch(context, partial(_put_directly, context, key, text))


@when('a watch waits while "{key}" is deleted')
def watch_delete(context, key):
    version = _get(context, key).version
    delete_object = partial(
        context.standin.platform.delete, expected_version=version
    )
    _watch(context, partial(delete_object, key))


@when('a watch waits without a change')
def watch_without_change(context):
    _watch(context, partial(anyio.sleep, 0))


def _put_directly(context, key, text):
    return context.standin.platform.put(key, text.encode(), expected_version=0)


def _watch(context, change):
    context.portal.call(_watch_during, context, change)


async def _watch_during(context, change):
    after = context.standin.platform.store.revision
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_change_later, change)
        context.listing = await context.platform.watch(
            'a/', after_revision=after, wait_seconds=0.8
        )


async def _change_later(change):
    await anyio.sleep(0.1)
    await change()


@then('the watch returns "{key}"')
def watch_returns(context, key):
    assert context.listing.objects[0].key == key, context.listing
    assert not context.listing.objects[0].deleted, context.listing


@then('the watch returns "{key}" and "{older}" again')
def watch_repeats(context, older, key):
    keys = [row.key for row in context.listing.objects]
    assert keys[0] == key, keys
    assert older in keys[1:], keys


@then('the watch returns the deletion of "{key}"')
def watch_returns_deletion(context, key):
    rows = [(row.key, row.deleted) for row in context.listing.objects]
    assert rows == [(key, True)], rows


@then('the watch returns nothing')
def watch_returns_nothing(context):
    assert not context.listing.objects


@when('an instance "{name}" is added to the list')
def add_instance(context, name):
    body = (
        b'{"instance": "e1", "role": "entry", "address": "127.0.0.1:1",'
        b' "failure_domain": "galata"}'
    )
    _call_standin(context, 'PUT', f'/instances/{name}', body)


@then('no instance is listed')
def none_listed(context):
    assert not context.portal.call(context.platform.instances)


@then('the instance "{name}" is listed')
def one_listed(context, name):
    rows = context.portal.call(context.platform.instances)
    assert rows == (_LISTED,), rows
    assert rows[0].instance == name


@when('a get is made')
def make_get(context):
    _get(context, 'k')


@then('the count of "{one}" is {first:d} and of "{other}" is {second:d}')
def counted(context, one, first, other, second):
    response = _call_standin(context, 'GET', '/calls')
    calls = msgspec.json.decode(response)['taken']
    assert (calls[one], calls[other]) == (first, second), calls
