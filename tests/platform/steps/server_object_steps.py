"""Steps for server objects that another writer has changed."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from types import MappingProxyType

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st
from tests.support.example_settings import node_settings

from sardinetrack.compose.store_view import PlatformObjectDecoder
from sardinetrack.logs.events import EventLog
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.feed_listeners import ServersListener
from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.freshness import boot_clock

_FIRST_KEY = 'servers/i-0'
_PREFIX = 'servers/'
_ABSENT = 'nothing'
_UNREADABLE = (
    b'{"metadata":{"name":"i-x","revision":"7"},"spec":{}}',
    b'{"spec":{"slots":1}}',
    b'{"metadata":{"name":"i-y","revision":9},"spec":{"zone":"\xff"}}',
    b'[]',
)


def _valid_object(number):
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


@given('a fleet that lists 2 valid servers')
def open_fleet(context):
    pipe = os.pipe()
    os.set_blocking(pipe[0], False)
    context.log_read = pipe[0]
    context.log = EventLog(pipe[1], 'entry-1')
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.state = EntryState(node_settings(), context.log)
    context.follower = ServersListener(context.state, PlatformObjectDecoder())
    context.revision = 10
    context.objects = {}
    for number in range(2):
        _write(
            context, f'{_PREFIX}i-{number}', json.dumps(_valid_object(number))
        )
    _list_all(context)


def _change(context, key, text):
    async def apply_change():
        context.follower.changed(_write(context, key, text))

    context.loop.run_until_complete(apply_change())


def _write(context, key, text):
    context.revision += 1
    content = text if isinstance(text, bytes) else text.encode()
    stored = StoredObject(key, context.revision, content)
    context.objects[key] = stored
    return stored


def _list_all(context):
    async def apply_change():
        listing = Listing(context.revision, tuple(context.objects.values()))
        context.follower.listed(listing)

    context.loop.run_until_complete(apply_change())


@when('the object of the first has {field} as {content}')
def change_field(context, field, content):
    server_object = _valid_object(0)
    server_object.pop(field)
    if content != _ABSENT:
        server_object[field] = json.loads(
            content.replace('\r', '').replace('\n', '')
        )
    _change(context, _FIRST_KEY, json.dumps(server_object))


@when('the object of the first has {case} in a field beside')
def add_field(context, case):
    text = json.dumps(_valid_object(0)).removesuffix('}')
    note = {
        'half of a surrogate pair': r'"hall B \ud83d"',
        '1200 nested lists': '[' * 1200 + ']' * 1200,
    }[case]
    _change(context, _FIRST_KEY, f'{text}, "note": {note}}}')


@when('the object of the first is not JSON')
def store_no_json(context):
    _change(context, _FIRST_KEY, b'\xff{"slots":')


@when('the object of the first is valid again')
def make_valid(context):
    text = json.dumps(_valid_object(0))
    _change(context, _FIRST_KEY, text)


@when('the first server announces its end')
def announce_end(context):
    async def act():
        first = context.state.servers.instances['i-0']
        assert context.state.mark_leaving(first)

    context.loop.run_until_complete(act())


@then('no line lists the first server again')
def not_listed_again(context):
    context.log.flush()
    try:
        raw = os.read(context.log_read, 100_000)
    except BlockingIOError:
        return
    assert b'server_listed' not in raw, raw


@when('everything is listed {count:d} times')
def list_often(context, count):
    for _ in range(count):
        _list_all(context)


@when('a valid object is stored under an id with a line break')
def store_under_bad_id(context):
    key = f'{_PREFIX}i-7\r\nx-evil: 1'
    _change(context, key, json.dumps(_valid_object(7)))


def _available(context):
    servers = context.state.servers.in_pool('models')
    return {server.instance for server in servers}


@then('only the second server is available')
def only_second_available(context):
    assert _available(context) == {'i-1'}, _available(context)


@when('a removal of the first arrives that is older than its record')
def remove_late(context):
    async def act():
        removed = StoredObject(_FIRST_KEY, 5, b'', deleted=True)
        context.follower.changed(removed)

    context.loop.run_until_complete(act())


@then('both servers are available')
def both_available(context):
    assert _available(context) == {'i-0', 'i-1'}, _available(context)


@then('one log line names the object, and one refused object is counted')
def logged_once(context):
    context.log.flush()
    lines = os.read(context.log_read, 1_000_000).splitlines()
    events = [json.loads(line) for line in lines]
    refused = [line for line in events if line['event'] == 'server_refused']
    assert [line['entry'] for line in refused] == [_FIRST_KEY], events
    assert context.state.meters.refused_entries == 1


@when('the list is confirmed, and {seconds:g} seconds later {change}')
def leave_after(context, seconds, change):
    record = json.dumps(_valid_object(0) | {'state': 'draining'})

    async def act():
        context.follower.confirmed(boot_clock())
        await asyncio.sleep(seconds)
        if change == 'a change shows that the first leaves':
            context.follower.changed(_write(context, _FIRST_KEY, record))
        elif change == 'the record of the first is removed':
            removed = replace(_write(context, _FIRST_KEY, ''), deleted=True)
            context.follower.changed(removed)
        elif change == 'a listing shows that the first leaves':
            _write(context, _FIRST_KEY, record)
        else:
            context.objects.pop(_FIRST_KEY)

    context.loop.run_until_complete(act())
    if 'listing' in change:
        _list_all(context)


@then(
    'one line reports the leaving of the first from the {source}, '
    '{seconds:g} seconds late'
)
def leaving_logged(context, source, seconds):
    context.log.flush()
    lines = os.read(context.log_read, 1_000_000).splitlines()
    events = [json.loads(line) for line in lines]
    left = [line for line in events if line['event'] == 'server_leaving']
    assert len(left) == 1, left
    context.line = left[0]
    assert context.line['server'] == 'i-0', context.line
    assert context.line['source'] == source, context.line
    assert context.line['revision'] in {11, context.revision}, context.line
    late_seconds = context.line['late_seconds']
    assert seconds <= late_seconds <= seconds + 0.2, context.line


@then('that line says that the first is {listed}')
def leaving_listed(context, listed):
    assert context.line['listed'] == (listed == 'listed'), context.line


@when('objects of another writer are stored among them')
def write_unreadable(context):
    context.store.put_raw('servers', _UNREADABLE)


@then(
    'the client lists the {count:d} servers, '
    'and the other objects that have names',
)
def lists_named(context, count):
    listing = context.loop.run_until_complete(context.client.list(_PREFIX))
    names = {stored.key for stored in listing.objects}
    servers = {f'{_PREFIX}i-{number}' for number in range(count)}
    assert names == servers | {f'{_PREFIX}i-x', f'{_PREFIX}i-y'}, names
    assert context.client.counters.unreadable == 3


@when('an object without a valid revision is written while the client watches')
def watch_unreadable(context):
    async def watch():
        revision = (await context.client.list(_PREFIX)).revision
        loop = asyncio.get_running_loop()
        loop.call_later(
            0.1,
            lambda: context.store.put('servers', 'i-new', {}, revision='no'),
        )
        began = loop.time()
        context.changes = await context.client.watch(
            _PREFIX,
            after_revision=revision,
            wait_seconds=2,
        )
        context.took_seconds = loop.time() - began

    context.loop.run_until_complete(watch())


_ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=2),
    max_leaves=3,
)


@when('hypothesis writes {count:d} objects in place of the first')
def write_random(context, count):
    context.accepted_invalid = []
    context.unavailable_count = 0

    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(
        st.dictionaries(st.sampled_from(sorted(_valid_object(0))), _ANY_JSON),
        st.sets(st.sampled_from(sorted(_valid_object(0))), max_size=2),
    )
    def check_object(changed, dropped):
        server_object = {**_valid_object(0), **changed}
        for field in dropped:
            server_object.pop(field)
        text = json.dumps(server_object)
        _change(context, _FIRST_KEY, text)
        available = _available(context)
        context.unavailable_count += 'i-1' not in available
        if 'i-0' in available and not _is_valid(server_object):
            context.accepted_invalid.append(server_object)

    check_object()


_FIELD_TYPES = MappingProxyType(
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


def _is_valid(server_object):
    types = (
        {**_FIELD_TYPES, 'born': int}
        if 'born' in server_object
        else _FIELD_TYPES
    )
    if not all(
        _has_type(server_object.get(name), expected_type)
        for name, expected_type in types.items()
    ):
        return False
    values = (
        server_object['state'],
        server_object['service'],
        server_object['slots'] > 0,
    )
    return values == ('ready', 'models', True)


def _has_type(content, expected_type):
    return isinstance(content, expected_type) and not isinstance(content, bool)


@then('each defined a server only if every field was valid')
def none_accepted_invalid(context):
    assert not context.accepted_invalid, context.accepted_invalid[:3]


@then('the second server was available all the time')
def never_unavailable(context):
    assert not context.unavailable_count
