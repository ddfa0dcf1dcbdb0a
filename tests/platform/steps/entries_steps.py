"""Steps for entries of servers that another writer has touched."""

from __future__ import annotations

import asyncio
import json
import os
from types import MappingProxyType

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as drawn
from hypothesis import strategies as st
from tests.support.example_settings import node_settings

from sardinetrack.compose.view import PlatformDecoder
from sardinetrack.logs.events import EventLog
from sardinetrack.relay.fleet import Fleet
from sardinetrack.relay.followers import ServersFollower
from sardinetrack.store.api import Listing, StoredObject

_FIRST = 'servers/i-0'
_KIND = 'servers/'
_NOTHING = 'nothing'
_UNREADABLE = (
    b'{"metadata":{"name":"i-x","revision":"7"},"spec":{}}',
    b'{"spec":{"slots":1}}',
    b'{"metadata":{"name":"i-y","revision":9},"spec":{"zone":"\xff"}}',
    b'[]',
)


def _good(number):
    return {
        'service': 'models',
        'address': f'10.0.0.{number}:80',
        'zone': 'galata',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'warmupLeftMs': 0,
        'sequence': 4,
        'born': 1700000000000,
    }


@given('a fleet that lists 2 good servers')
def open_fleet(context):
    pipe = os.pipe()
    os.set_blocking(pipe[0], False)
    context.log_read = pipe[0]
    context.log = EventLog(pipe[1], 'entry-1')
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.fleet = Fleet(node_settings(), context.log)
    context.follower = ServersFollower(context.fleet, PlatformDecoder())
    context.revision = 10
    context.objects = {}
    for number in range(2):
        _write(context, f'{_KIND}i-{number}', json.dumps(_good(number)))
    _list_all(context)


def _change(context, key, text):
    async def act():
        context.follower.changed(_write(context, key, text))

    context.loop.run_until_complete(act())


def _write(context, key, text):
    context.revision += 1
    content = text if isinstance(text, bytes) else text.encode()
    stored = StoredObject(key, context.revision, content)
    context.objects[key] = stored
    return stored


def _list_all(context):
    async def act():
        listing = Listing(context.revision, tuple(context.objects.values()))
        context.follower.listed(listing)

    context.loop.run_until_complete(act())


@when('the entry of the first has {field} as {content}')
def change_field(context, field, content):
    entry = _good(0)
    entry.pop(field)
    if content != _NOTHING:
        entry[field] = json.loads(content.replace('\r', '').replace('\n', ''))
    _change(context, _FIRST, json.dumps(entry))


@when('the entry of the first is no JSON')
def no_json(context):
    _change(context, _FIRST, b'\xff{"slots":')


@when('the entry of the first is good again')
def good_again(context):
    text = json.dumps(_good(0))
    _change(context, _FIRST, text)


@when('everything is listed {count:d} times')
def list_often(context, count):
    for _ in range(count):
        _list_all(context)


@when('a good entry lies under an id with a line break')
def bad_id(context):
    key = f'{_KIND}i-7\r\nx-evil: 1'
    _change(context, key, json.dumps(_good(7)))


def _working(context):
    servers = context.fleet.servers.of_pool('models')
    return {server.instance for server in servers}


@then('only the second server takes work')
def only_second(context):
    assert _working(context) == {'i-1'}, _working(context)


@then('both servers take work')
def both(context):
    assert _working(context) == {'i-0', 'i-1'}, _working(context)


@then('one line names the entry, and one refused entry is counted')
def told_once(context):
    context.log.flush()
    lines = os.read(context.log_read, 1_000_000).splitlines()
    told = [json.loads(line) for line in lines]
    refused = [line for line in told if line['event'] == 'server_refused']
    assert [line['entry'] for line in refused] == [_FIRST], told
    assert context.fleet.meters.refused_entries == 1


@when('objects of another writer lie between them')
def write_unreadable(context):
    context.store.put_raw('servers', _UNREADABLE)


@then(
    'the client lists the {count:d} servers, '
    'and those of the others that have names',
)
def lists_named(context, count):
    listing = context.loop.run_until_complete(context.client.list(_KIND))
    names = {stored.key for stored in listing.objects}
    servers = {f'{_KIND}i-{number}' for number in range(count)}
    assert names == servers | {f'{_KIND}i-x', f'{_KIND}i-y'}, names
    assert context.client.use.unreadable == 3


@when('an object without a revision is written while the client watches')
def watch_unreadable(context):
    async def watch():
        revision = (await context.client.list(_KIND)).revision
        loop = asyncio.get_running_loop()
        loop.call_later(
            0.1,
            lambda: context.store.put('servers', 'i-new', {}, revision='no'),
        )
        began = loop.time()
        context.changes = await context.client.watch(
            _KIND,
            after_revision=revision,
            wait_seconds=2,
        )
        context.took_seconds = loop.time() - began

    context.loop.run_until_complete(watch())


_ANYTHING = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=2),
    max_leaves=3,
)


@when('hypothesis writes {count:d} entries in the place of the first')
def write_random(context, count):
    context.wrong = []
    context.missing = 0

    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(
        st.dictionaries(st.sampled_from(sorted(_good(0))), _ANYTHING),
        st.sets(st.sampled_from(sorted(_good(0))), max_size=2),
    )
    def play(changed, dropped):
        entry = {**_good(0), **changed}
        for field in dropped:
            entry.pop(field)
        text = json.dumps(entry)
        _change(context, _FIRST, text)
        working = _working(context)
        context.missing += 'i-1' not in working
        if 'i-0' in working and not _proper(entry):
            context.wrong.append(entry)

    play()


_KINDS = MappingProxyType(
    {
        'service': str,
        'address': str,
        'zone': str,
        'version': str,
        'slots': int,
        'state': str,
        'sequence': int,
        'warmupLeftMs': (int, float),
    }
)


def _proper(entry):
    kinds = {**_KINDS, 'born': int} if 'born' in entry else _KINDS
    if not all(_is(entry.get(name), kind) for name, kind in kinds.items()):
        return False
    told = (entry['state'], entry['service'], entry['slots'] > 0)
    return told == ('ready', 'models', True)


def _is(content, kind):
    return isinstance(content, kind) and not isinstance(content, bool)


@then('each named a server only with every field as it should be')
def none_wrong(context):
    assert not context.wrong, context.wrong[:3]


@then('the second server took work all the while')
def never_missing(context):
    assert not context.missing
