"""Steps for streams at engines of several software versions."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from unittest import mock

from behave import then, when
from tests.support.held_requests import until
from tests.support.moving_servers import EVENTS
from tests.support.relay_world import close_world
from tests.support.version_world import CallerStream, VersionWorld

_READ_EVENTS = 8


async def _begin(world, streams, max_events=EVENTS):
    """Request the streams, and wait until each has some events."""
    reads = [
        asyncio.ensure_future(world.read(one, max_events=max_events))
        for one in streams
    ]
    await until(lambda: all(len(one.numbers) > 2 for one in streams))
    return reads


async def _engine_crashes(world, streams):
    reads = await _begin(world, streams)
    await world.servers[0].crash()
    await asyncio.gather(*reads)


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
    await asyncio.gather(*(world.read(one) for one in streams))


_WAYS = MappingProxyType(
    {
        'an engine crashes': _engine_crashes,
        'an engine leaves': _engine_leaves,
        'an engine leaves, callers continue at another entry': (
            _continue_elsewhere
        ),
        'an entry is killed, and an engine leaves': _entry_is_killed,
    }
)


def _play(context, way, versions, count):
    world = VersionWorld()
    context.add_cleanup(close_world, world)
    streams = [CallerStream(number) for number in range(count)]

    async def play():
        await world.open_fleet(versions)
        await _WAYS[way](world, streams)

    with mock.patch('sardinetrack.relay.stream_move.MIN_RUN_SECONDS', 0.1):
        world.run(play())
    context.world = world
    return streams


@when(
    '{count:d} streams at engines of {versions} are interrupted in these ways:'
)
@when('{count:d} stream at engines of {versions} is interrupted in this way:')
def interrupt(context, count, versions):
    names = versions.replace(' and ', ', ').split(', ')
    context.versions = names
    context.streams = {
        row['way']: _play(context, row['way'], names, count)
        for row in context.table
    }


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
