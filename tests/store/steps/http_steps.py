"""Steps on the stand-in of the platform and the client on it."""

from __future__ import annotations

from contextlib import ExitStack
from functools import partial

import anyio
import msgspec
from anyio.from_thread import start_blocking_portal
from behave import given, step, then, when

from sardinetrack.http.client import HttpClient
from sardinetrack.http.server import serving
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
_ROW = ListedInstance('e1', 'entry', '127.0.0.1:1', 'galata')


@given('a stand-in of the platform and a client on it')
def bench(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.portal = stack.enter_context(start_blocking_portal())
    own = context.portal.wrap_async_context_manager
    store = MemoryStore(history_events=_HISTORY_EVENTS)
    context.standin = PlatformStandin(_TOKEN, MemoryPlatform(store))
    context.http = stack.enter_context(own(HttpClient()))
    context.server_stack = stack.enter_context(ExitStack())
    context.server = context.server_stack.enter_context(
        own(serving(context.standin, '127.0.0.1', 0))
    )
    context.platform = _client(context, _TOKEN)
    context.written = []


def _client(context, token):
    return HttpPlatform(
        context.http, context.server.url, token, call_timeout_seconds=0.5
    )


def _control(context, method, path, body=b''):
    call = partial(
        context.http.call,
        method,
        context.server.url + path,
        headers=[('authorization', f'Bearer {_TOKEN}')],
        body=body,
    )
    reply = context.portal.call(call)
    assert reply.status in {200, 204}, reply
    return reply.body


def _put(context, key, text, version):
    write = partial(
        context.platform.put, key, text.encode(), expected_version=version
    )
    stored = context.portal.call(write)
    context.written.append(stored.version)
    return stored


def _delete(context, key, version):
    erase = partial(context.platform.delete, key, expected_version=version)
    context.portal.call(erase)


def _get(context, key):
    return context.portal.call(context.platform.get, key)


@step('"{key}" is created with "{text}"')
def create(context, key, text):
    _put(context, key, text, 0)


@when('"{key}" is replaced with "{text}" over its version')
def replace(context, key, text):
    _put(context, key, text, _get(context, key).version)


@when('"{key}" is deleted over its version')
def delete(context, key):
    _delete(context, key, _get(context, key).version)


@then('the list of "{prefix}" holds "{key}" with "{text}" only')
def listed(context, prefix, key, text):
    listing = context.portal.call(context.platform.list, prefix)
    rows = [(row.key, row.value.decode()) for row in listing.objects]
    assert rows == [(key, text)], rows
    assert listing.revision == 4, listing


@then('each write got a greater version than the one before')
def growing(context):
    assert context.written == sorted(set(context.written))


@then('a read of "{key}" finds nothing')
def finds_nothing(context, key):
    assert _get(context, key) is None


@then('a read of "{key}" finds "{text}"')
def finds(context, key, text):
    assert _get(context, key).value.decode() == text


@then('a read of "{key}" finds "{text}" in the end')
def finds_late(context, key, text):
    for _ in range(100):
        stored = _get(context, key)
        if stored:
            break
        context.portal.call(anyio.sleep, 0.02)
    assert stored.value.decode() == text


@when('two writers replace "{key}" over the same version')
def race(context, key):
    context.old_version = _get(context, key).version
    context.portal.call(_race, context, key)


async def _race(context, key):
    context.race = []

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
    context.race.append(stored)


@then('one write stands and the other learns the version that stands')
def one_stands(context):
    errors = [row for row in context.race if isinstance(row, ConflictError)]
    stored = [row for row in context.race if row not in errors]
    assert len(errors) == len(stored) == 1, context.race
    assert errors[0].current == stored[0], context.race
    context.stands = stored[0]


@then('a create of "{key}" learns the version that stands')
def create_refused(context, key):
    _keep(context, partial(_put, context, key, 'x', 0))
    assert context.error.current == context.stands


@then('a delete of "{key}" over the old version learns the version that stands')
def delete_refused(context, key):
    _keep(context, partial(_delete, context, key, context.old_version))
    assert context.error.current == context.stands


def _keep(context, call):
    context.error = None
    try:
        call()
    except PlatformError as error:
        context.error = error


@step('the faults {faults}')
def set_faults(context, faults):
    body = faults.removeprefix('are ').encode()
    _control(context, 'PUT', '/faults', body)


@when('"{key}" is put with "{text}" and the error is kept')
def put_kept(context, key, text):
    _keep(context, partial(_put, context, key, text, None))


@when('the call "{call}" is made and the error is kept')
def call_kept(context, call):
    for key in 'opqrst':
        if call == 'an old watch':
            _put(context, key, 'x', 0)
    for _ in range(2):
        made = partial(context.portal.call, _named(context, call))
        _keep(context, made)


def _named(context, call):
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
def stopped(context):
    context.server_stack.close()
    call_kept(context, 'a put')


@when('a get is made with a foreign token')
def foreign(context):
    context.platform = _client(context, 'foreign')
    call_kept(context, 'a get')


@when('a watch waits while "{key}" is created with "{text}"')
def watch_create(context, key, text):
    _watch(context, partial(_standin_put, context, key, text))


@when('a watch waits while "{key}" is deleted')
def watch_delete(context, key):
    version = _get(context, key).version
    erase = partial(context.standin.platform.delete, expected_version=version)
    _watch(context, partial(erase, key))


@when('a watch waits in vain')
def watch_vain(context):
    _watch(context, partial(anyio.sleep, 0))


def _standin_put(context, key, text):
    return context.standin.platform.put(key, text.encode(), expected_version=0)


def _watch(context, change):
    context.portal.call(_watch_during, context, change)


async def _watch_during(context, change):
    after = context.standin.platform.store.revision
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_later, change)
        context.seen = await context.platform.watch(
            'a/', after_revision=after, wait_seconds=0.8
        )


async def _later(change):
    await anyio.sleep(0.1)
    await change()


@then('the watch brings "{key}"')
def brings(context, key):
    assert context.seen.objects[0].key == key, context.seen
    assert not context.seen.objects[0].deleted, context.seen


@then('the watch, repeating "{older}", brings "{key}"')
def repeats(context, older, key):
    keys = [row.key for row in context.seen.objects]
    assert keys[0] == key, keys
    assert older in keys[1:], keys


@then('the watch tells that "{key}" is deleted')
def brings_deleted(context, key):
    rows = [(row.key, row.deleted) for row in context.seen.objects]
    assert rows == [(key, True)], rows


@then('the watch brings nothing')
def brings_nothing(context):
    assert not context.seen.objects


@when('an instance "{name}" is entered in the list')
def enter(context, name):
    body = (
        b'{"instance": "e1", "role": "entry", "address": "127.0.0.1:1",'
        b' "failure_domain": "galata"}'
    )
    _control(context, 'PUT', f'/instances/{name}', body)


@then('no instance is listed')
def none_listed(context):
    assert not context.portal.call(context.platform.instances)


@then('the instance "{name}" is listed')
def one_listed(context, name):
    rows = context.portal.call(context.platform.instances)
    assert rows == (_ROW,), rows
    assert rows[0].instance == name


@when('a get is made')
def make_get(context):
    _get(context, 'k')


@then('the count of "{one}" is {first:d} and of "{other}" is {second:d}')
def counted(context, one, first, other, second):
    reply = _control(context, 'GET', '/calls')
    calls = msgspec.json.decode(reply)['taken']
    assert (calls[one], calls[other]) == (first, second), calls
