"""Steps for sides that fall silent, and records that are missing."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from unittest import mock

from behave import given, then, when
from tests.support import moving_servers
from tests.support.held_requests import until
from tests.support.relay_world import close_world
from tests.support.version_world import CallerStream, VersionWorld

from sardinetrack.topology.freshness import boot_clock
from sardinetrack.turns.entry_connection import EntryConnection

_EVENT_SECONDS = 0.045
_WAIT_SECONDS = 8.0
_SLOTS = 2


def _be_patient(state):
    held = state.configuration
    routes = {
        host: tuple(
            replace(
                one,
                first_event_objective_seconds=_WAIT_SECONDS,
                timeout_seconds=2 * _WAIT_SECONDS,
            )
            for one in of_host
        )
        for host, of_host in held.routes.items()
    }
    state.configuration = replace(held, routes=routes)


@given(
    '{entries:d} entries, and an engine with a side that admits {slots:d}'
    ' streams at a time'
)
def open_world(context, entries, slots):
    patch = mock.patch.object(moving_servers, 'EVENT_SECONDS', _EVENT_SECONDS)
    patch.start()
    context.add_cleanup(patch.stop)
    world = VersionWorld()
    context.add_cleanup(close_world, world)
    world.run(world.open_fleet([''], entries, started=900, slots=slots))
    for state in world.entry_states:
        _be_patient(state)
    context.world = world
    context.streams = []


async def _be_silent(world, seconds):
    """Let a side neither read nor send, as if it were not scheduled."""
    late = []

    def delay(name):
        return lambda one, *more: late.append((one, name, more))

    names = (
        'connection_made',
        'data_received',
        'send',
        'handle_disconnected',
    )
    delayed = {name: delay(name) for name in names}
    with mock.patch.multiple(EntryConnection, **delayed):
        await asyncio.sleep(seconds)
    for connection, name, more in late:
        getattr(connection, name)(*more)


async def _break_links(world):
    for connection in list(world.sides['i-0'].entry_connections):
        connection.abort()


async def _miss(world, seconds):
    for state in world.entry_states:
        state.servers.replace(boot_clock(), ())
        state.apply_server_changes()
    await asyncio.sleep(seconds)
    world.list_servers(revision=99)


async def _happen(world, what):
    if 'side is silent' in what:
        await _be_silent(world, float(what.split()[-2]))
    if 'links' in what:
        await _break_links(world)
    if 'record' in what:
        await _miss(world, 0.6)


def _request(context, entry):
    stream = CallerStream(len(context.streams))
    stream.target = '/once-stream/s'
    context.streams.append(stream)
    return asyncio.ensure_future(context.world.read(stream, entry))


@when(
    '{count:d} streams run at the engine and {waiting:d} wait for it,'
    ' and {what}'
)
def run_streams(context, count, waiting, what):
    context.what = what
    context.counts = (count, waiting)


@when('a new stream is requested meanwhile')
def request_meanwhile(context):
    world = context.world
    count, waiting = context.counts

    async def play():
        reads = [_request(context, one % 2) for one in range(count)]
        await until(lambda: all(one.numbers for one in context.streams))
        reads += [_request(context, one % 2) for one in range(waiting)]
        await asyncio.sleep(0.2)
        happening = asyncio.ensure_future(_happen(world, context.what))
        await asyncio.sleep(0.2)
        reads.append(_request(context, 1))
        await happening
        await asyncio.gather(*reads)

    world.run(play())


def _is_whole(stream):
    events = list(range(1, moving_servers.EVENTS + 1))
    return stream.complete and stream.numbers == events


def _run_by_engine(context):
    """Return the number of runs of each stream."""
    heads = [fields for _, fields, _ in context.world.servers[0].requests]
    return Counter(fields['x-sardinetrack-request-id'] for fields in heads)


@then('each caller has its whole stream, and the engine ran each once')
def all_whole(context):
    got = [(one.statuses, len(one.numbers)) for one in context.streams]
    assert all(map(_is_whole, context.streams)), got
    expected = {one.first_request: 1 for one in context.streams}
    assert _run_by_engine(context) == expected, _run_by_engine(context)


@then('each caller has its whole stream, or is told when to retry')
def whole_or_refused(context):
    for stream in context.streams:
        refused = stream.statuses == [503] and stream.retry_after is not None
        assert _is_whole(stream) or refused, (stream.statuses, stream.raw)


@then('the streams that ran are whole')
def whole_that_ran(context):
    runs = _run_by_engine(context)
    assert set(runs.values()) == {1}, runs
    count = context.counts[0]
    assert all(map(_is_whole, context.streams[:count])), runs
    for stream in context.streams:
        assert _is_whole(stream) == (stream.first_request in runs), runs


@then('no crash is suspected, and no permit is held')
def nothing_held(context):
    world = context.world
    for state in world.entry_states:
        assert not state.crashes.strike_registry
        assert not sum(state.crashes.interrupted.values())
    side = world.sides['i-0']
    world.run(until(lambda: not side.admission.running))
    assert not side.admission.waiting
