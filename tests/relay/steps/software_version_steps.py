"""Steps for streams at engines of several software versions."""

from __future__ import annotations

import asyncio
from functools import partial
from types import MappingProxyType
from unittest import mock

from behave import then, when
from tests.support.held_requests import until
from tests.support.moving_servers import EVENTS, MovingServer
from tests.support.relay_world import close_world
from tests.support.version_world import CallerStream, VersionWorld

_READ_EVENTS = 8
_AT_ONCE_SECONDS = 0.3
_ALL = EVENTS + 1
_MAX_TRIES = 20
_STARTED = 1_790_000_000_000


def _has_begun(stream):
    return len(stream.numbers) > 2


async def _begin(world, streams, max_events=_ALL):
    """Request the streams, and wait until each has some events."""
    reads = [
        asyncio.ensure_future(world.read(one, max_events=max_events))
        for one in streams
    ]
    await until(lambda: all(map(_has_begun, streams)))
    return reads


async def _take_up(world, streams, entry=1):
    """Continue the streams that their callers lack a part of."""
    incomplete = [one for one in streams if not one.complete]
    await asyncio.gather(*(world.read(one, entry) for one in incomplete))


async def _engine_crashes(world, streams):
    reads = await _begin(world, streams)
    await world.servers[0].crash()
    await asyncio.gather(*reads)
    # The budget for retries within responses is too small for all.
    await _take_up(world, streams)


async def _instance_is_lost(world, streams):
    """The side that knows the streams of the engine is lost with it."""
    reads = await _begin(world, streams)
    await world.kill_side(world.servers[0])
    await world.servers[0].crash()
    await asyncio.gather(*reads)
    await _take_up(world, streams)


async def _engine_leaves(world, streams):
    reads = await _begin(world, streams)
    world.list_servers({'i-0'})
    await asyncio.gather(*reads)


async def _continue_elsewhere(world, streams):
    await asyncio.gather(*await _begin(world, streams, _READ_EVENTS))
    world.list_servers({'i-0'})
    await asyncio.gather(*(world.read(one, 1) for one in streams))


async def _entry_is_killed(world, streams):
    reads = await _begin(world, streams)
    await world.kill_entry(0)
    await asyncio.gather(*reads)
    world.list_servers({'i-0'})
    await _take_up(world, streams, 0)


async def _all_entries_are_replaced(world, streams):
    reads = await _begin(world, streams)
    await world.kill_entry(1)
    await world.kill_entry(0)
    await asyncio.gather(*reads)
    await world.open_entry()
    world.list_servers({'i-0'})
    await world.wait_linked()
    await _take_up(world, streams, 0)


async def _side_is_back_without_records(world, streams):
    """Its entries granted themselves the permits, so no side was told."""
    await world.kill_side(world.servers[0])
    await _entry_is_killed(world, streams)


async def _version_ends(world, streams):
    """The streams of the version that is left behind are refused."""
    await asyncio.gather(*await _begin(world, streams, _READ_EVENTS))
    world.list_servers({'i-0', 'i-1'})
    await _take_up(world, streams)


async def _nobody_knows(world, streams):
    reads = await _begin(world, streams)
    for engine in world.servers:
        await world.kill_side(engine)
    await world.kill_entry(0)
    await asyncio.gather(*reads)
    await _take_up(world, streams, 0)


async def _restarts_unnoticed(world, streams):
    """The only other engine of v1 by the list has another version by then."""
    reads = await _begin(world, streams)
    await world.servers[1].restart('v2')
    await world.servers[0].crash()
    await asyncio.gather(*reads)
    await _take_up(world, streams)


async def _restarts_before(world, streams):
    """The entries learn of the restart while streams of both starts run."""
    await world.servers[0].restart('v2')
    reads = await _begin(world, streams)
    world.list_servers()
    await asyncio.gather(*reads)


async def _restarts_before_kill(world, streams):
    await world.servers[0].restart('v2')
    reads = await _begin(world, streams)
    await world.kill_entry(0)
    await asyncio.gather(*reads)
    await world.servers[0].crash()
    await _take_up(world, streams, 0)


_WAYS = MappingProxyType(
    {
        'an engine crashes': _engine_crashes,
        'an engine leaves': _engine_leaves,
        'an engine leaves, callers continue at another entry': (
            _continue_elsewhere
        ),
        'an entry is killed, and an engine leaves': _entry_is_killed,
        'an engine and its side are lost': _instance_is_lost,
        'all entries are replaced, and an engine leaves': (
            _all_entries_are_replaced
        ),
        'a side is lost, then an entry is killed': (
            _side_is_back_without_records
        ),
        'all engines of v1 leave': _version_ends,
        'all sides and an entry are killed': _nobody_knows,
        'an engine restarts as v2 unnoticed, and another crashes': (
            _restarts_unnoticed
        ),
        'an engine restarts as v2, and is listed after streams began': (
            _restarts_before
        ),
        'an engine restarts as v2 unnoticed, then it and an entry end': (
            _restarts_before_kill
        ),
    }
)


def _play(context, way, versions, count, started=None):
    world = VersionWorld()
    context.add_cleanup(close_world, world)
    streams = [CallerStream(number) for number in range(count)]

    async def play():
        await world.open_fleet(versions, started=started)
        await _WAYS[way](world, streams)

    with mock.patch('sardinetrack.relay.stream_move.MIN_RUN_SECONDS', 0.1):
        world.run(play())
    context.world = world
    return streams


@when(
    '{count:d} streams at engines of {versions}, which may restart under'
    ' their ids, are interrupted in these ways:'
)
def interrupt_restartable(context, count, versions):
    interrupt(context, count, versions, started=_STARTED)


@when(
    '{count:d} streams at engines of {versions} are interrupted in these ways:'
)
@when('{count:d} stream at engines of {versions} is interrupted in this way:')
def interrupt(context, count, versions, started=None):
    names = versions.replace(' and ', ', ').split(', ')
    context.streams = {
        row['way']: _play(context, row['way'], names, count, started)
        for row in context.table
    }


@when(
    'the caller of a stream of v1 continues it, and the only engine of v1 is'
    ' busy for {seconds:g} seconds'
)
def wait_for_slot(context, seconds):
    context.world = VersionWorld()
    context.add_cleanup(close_world, context.world)
    event_seconds = f'{MovingServer.__module__}.EVENT_SECONDS'
    with mock.patch(event_seconds, seconds / EVENTS):
        streams = context.world.run(_play_busy(context.world))
    context.streams = {'busy': streams}


async def _play_busy(world):
    await world.open_fleet(['v1', 'v2'], slots=1)
    # The caller of the first leaves it; the second takes the only slot then.
    left, _ = await _begin_at_v1(world, _READ_EVENTS)
    busy, read = await _begin_at_v1(world, _ALL)
    await world.read(left, 1)
    await until(lambda: busy.complete)
    await read
    return [left, busy]


async def _begin_at_v1(world, max_events):
    """Begin a stream at v1; others, by their prefix, begin elsewhere.

    :return: the stream, and the task that reads it: the event loop keeps no
        reference, and a collected task closes its connection.
    """
    for number in range(_MAX_TRIES):
        stream = CallerStream(number)
        read = asyncio.ensure_future(world.read(stream, 0, max_events))
        await until(partial(_has_begun, stream))
        if stream.versions == {b'v1'}:
            if max_events < EVENTS:
                await read
            return stream, read
        read.cancel()
    raise AssertionError('no stream begins at v1')


def _all_streams(context):
    return [
        (way, stream)
        for way, streams in context.streams.items()
        for stream in streams
    ]


@then('no stream has events of two versions')
def not_mixed(context):
    mixed = [
        way for way, stream in _all_streams(context) if len(stream.versions) > 1
    ]
    counts = {way: mixed.count(way) for way in mixed}
    assert not mixed, counts


@then('no stream lacks an event or has one twice')
def in_order(context):
    for way, stream in _all_streams(context):
        expected = list(range(1, len(stream.numbers) + 1))
        assert stream.numbers == expected, (way, stream.numbers)
        assert not stream.complete or len(expected) == EVENTS, way


@then('every stream that an engine of its version can continue is complete')
def complete(context):
    # The first engine, which is interrupted, is of a version with two engines.
    broken = [
        (way, stream.statuses, stream.versions)
        for way, stream in _all_streams(context)
        if not stream.complete
    ]
    assert not broken, broken


@then('the streams of {version} are refused at once, because {reason}')
def refused(context, version, reason):
    lines = {
        line['request']: line
        for line in context.world.lines()
        if line['event'] == 'request_ended'
    }
    streams = [
        stream
        for _, stream in _all_streams(context)
        if version.encode() in stream.versions
    ]
    assert streams
    for stream in streams:
        assert stream.statuses[-1] == 503, stream.statuses
        line = lines[stream.last_request]
        assert line['reason'].startswith('not_run_version'), line
        assert reason in line['reason'], line
        assert line['took_seconds'] < _AT_ONCE_SECONDS, line


@then('the streams of {version} are complete')
def complete_of(context, version):
    streams = [
        stream
        for _, stream in _all_streams(context)
        if stream.versions == {version.encode()}
    ]
    assert streams
    assert all(stream.complete for stream in streams)


@then('the lines show that {version} continues the stream after its last event')
def traced(context, version):
    stream = _all_streams(context)[0][1]
    sent = [
        line
        for line in context.world.lines()
        if line['event'] == 'request_sent'
    ]
    first, later = sent[0], sent[-1]
    assert first['version'] == later['version'] == version, sent
    assert first['after_event'] is None, first
    assert later['after_event'] == _READ_EVENTS, later
    assert later['resumes'] == stream.first_request, later
