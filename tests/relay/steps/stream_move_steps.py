"""Steps for streams that move off an engine that leaves."""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from dataclasses import replace
from types import MappingProxyType
from unittest import mock

from behave import given, then, when
from tests.support.held_requests import assert_nothing_held, until
from tests.support.moving_servers import EVENTS, MovingServer
from tests.support.relay_servers import SharedActs
from tests.support.relay_world import RelayWorld, close_world, configuration

from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.step_pace import StepPace
from sardinetrack.relay.metrics import entry_metrics, render_metrics
from sardinetrack.relay.move_limit import MAX_MOVES
from sardinetrack.relay.stream_move import MoveSchedule, choose_destination
from sardinetrack.store.api import StoreCounters
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer

_RELAY = 'sardinetrack.relay'
_SHORTER = (
    (f'{_RELAY}.stream_move.MIN_RUN_SECONDS', 0.1),
    (f'{_RELAY}.move_steps.PLACE_AGAIN_SECONDS', 0.2),
    (f'{_RELAY}.move_steps.STREAM_END_SECONDS', 0.25),
    (f'{_RELAY}.move_steps.WATCH_SECONDS', 0.2),
    (f'{_RELAY}.move_steps.SILENCE_SECONDS', 0.9),
    (f'{_RELAY}.kv_calls.COPY_SECONDS', 0.2),
)


def _open(context, count, slots=200, moves=True):
    world = RelayWorld()
    context.world = world
    context.add_cleanup(close_world, world)
    world.server_type = MovingServer
    MovingServer.copies.clear()
    for name, seconds in _SHORTER:
        patch = mock.patch(name, seconds)
        patch.start()
        context.add_cleanup(patch.stop)
    world.run(world.open(models=count))
    context.pool = {'slots': slots, 'moves': moves}
    _configure(context)
    context.changes = ()
    context.acts = ('answer', 'answer')


def _configure(context, version=1, **changed):
    held = configuration(version, **changed)
    pool = replace(held.pools['models'], **context.pool)
    pools = {**held.pools, 'models': pool}
    # With two servers a request that may run once is sent again if the first
    # has proved that it did not run it.
    routes = {
        host: tuple(replace(route, max_servers=2) for route in of_host)
        for host, of_host in held.routes.items()
    }
    state = context.world.entry_state
    state.configuration = replace(held, pools=pools, routes=routes)


@given('a relay in front of {count:d} engine whose streams move')
@given('a relay in front of {count:d} engines whose streams move')
def open_moving(context, count):
    _open(context, count)


@given(
    'a relay in front of {count:d} engines whose streams move,'
    ' with {slots:d} slot each'
)
def open_small(context, count, slots):
    _open(context, count, slots)


@given("a relay in front of {count:d} engines whose streams don't move")
def open_unmoving(context, count):
    _open(context, count, moves=False)


@given('their last event before a stop has no number')
def number_no_late_event(context):
    for server in context.world.servers:
        server.late_form = 'data: token {number}\n\n'


@given('no request may arrive {seconds:g} seconds after a leaving')
def bound_arrivals(context, seconds):
    state = context.world.entry_state
    state.settings = replace(state.settings, drain_seconds=seconds)


@when("the source's replies are {copy:w} and {stop:w}")
def reply_so(context, copy, stop):
    for server in context.world.servers:
        server.replies = {'copy': copy, 'stop': stop}


@given('the start of each engine is known')
def know_starts(context):
    for server in context.world.servers:
        server.started = 1_700_000_000_000
    context.world.list_servers()


@when("the source's replies are ok and {stop:w}, and {again:w} if asked again")
def reply_again(context, stop, again):
    for server in context.world.servers:
        server.replies = {'copy': 'ok', 'stop': stop, 'again': again}


@when(
    "the destination's act is {act:w},"
    " and the source's act after it is {back:w}"
)
def act_so(context, act, back):
    context.acts = (act, back)


@when('{change} once the first copy is asked for')
def change_early(context, change):
    context.changes = ((_copying, change),)


@when('{change} once the run has stopped')
def change_late(context, change):
    context.changes = ((_stopped, change),)


async def _begin(context, route):
    """Request a stream, and find out which engine runs it."""
    world = context.world
    call = asyncio.ensure_future(world.call(route))
    await until(lambda: any(one.made for one in world.servers))
    context.source = next(one for one in world.servers if one.made)
    context.others = [one for one in world.servers if one != context.source]
    act, back = context.acts
    context.source.acts.append(back)
    for other in context.others:
        other.acts.append(act)
    return call


def _is_asked(context, *, last):
    return any(call.get('last', False) == last for call in context.source.calls)


async def _all_ended(context):
    await until(lambda: not context.world.entry._exchanges)  # noqa: SLF001


async def _copying(context):
    await until(lambda: _is_asked(context, last=False))


async def _stopped(context):
    await until(lambda: _is_asked(context, last=True))
    await asyncio.sleep(0.05)


@when('a caller requests a {route:S} whose engine is listed as leaving')
def request_and_leave(context, route):
    async def play():
        call = await _begin(context, route)
        context.world.list_servers({context.source.instance})
        for wait, change in context.changes:
            await wait(context)
            await _CHANGES[change](context)
        return await call

    context.reply = context.world.run(play())


@when('a caller requests a {route:S} whose engine causes long pauses')
@when(
    'a caller requests a {route:S} whose engine causes long pauses, and {why}'
)
def request_at_pauses(context, route, why=''):
    loads = context.world.entry_state.server_states.loads

    async def play():
        call = await _begin(context, route)
        for server in context.world.servers:
            paused = server is context.source or 'too' in why
            loads[server.instance] = EstimatedLoad(
                recent_pause_seconds=0.5 if paused else 0,
                pace=StepPace(1000 if 'short' in why else 0, 0.01, 0.1),
            )
        if 'known' in why:
            loads.clear()
        return await call

    context.reply = context.world.run(play())


@when(
    'a caller requests a {route:S} whose engine says in the response it leaves'
)
def request_at_leaving(context, route):
    shared = SharedActs('leave')
    for server in context.world.servers:
        server.acts = shared

    async def play():
        call = asyncio.ensure_future(context.world.call(route))
        await until(lambda: any(one.made for one in context.world.servers))
        one, other = context.world.servers
        context.source = one if one.made else other
        context.others = [other if one.made else one]
        return await call

    context.reply = context.world.run(play())


async def _rest(context):
    rests = context.world.entry_state.server_states.rests
    rests.begin(boot_clock(), context.others[0].instance, 5)


async def _leave(context):
    context.world.list_servers({one.instance for one in context.world.servers})


async def _stop(context):
    await context.others[0].close()


async def _revoke(context):
    _configure(context, 2, keys=('other',))


async def _remove_route(context):
    _configure(context, 2)
    state = context.world.entry_state
    state.configuration = replace(state.configuration, routes={})


_CHANGES = MappingProxyType(
    {
        'the destination rests': _rest,
        'the destination leaves': _leave,
        'the destination stops': _stop,
        "the caller's key ends": _revoke,
        "the caller's route ends": _remove_route,
    }
)
_POINTS = MappingProxyType(
    {
        'the copy begins': lambda one: _is_asked(one, last=False),
        'the last copy is asked for': lambda one: _is_asked(one, last=True),
        'the destination is asked': lambda one: one.others[0].requests,
        'the destination streams': lambda one: one.others[0].made,
    }
)


@when('the request of a caller ends by {cause:w} once {point}')
def end_request(context, cause, point):
    if cause == 'deadline':
        _configure(context, 2, timeout_seconds=0.9)

    async def play():
        call = await _begin(context, 'once-stream')
        context.world.list_servers({context.source.instance})
        await until(lambda: _POINTS[point](context))
        if cause == 'deadline':
            assert not (await call).complete
            return
        await asyncio.sleep(0.03)
        call.cancel()
        with suppress(asyncio.CancelledError):
            await call
        await _all_ended(context)

    context.world.run(play())


@when("another stream holds the destination's slot")
def hold_destination(context):
    async def play():
        world = context.world
        world.list_servers({world.servers[0].instance})
        context.early = asyncio.ensure_future(world.call('stream'))
        await until(lambda: world.servers[1].made)
        world.list_servers({world.servers[1].instance})
        # A stream that runs on the destination is not to move itself.
        world.servers[1].replies['copy'] = 'busy'

    context.world.run(play())
    servers = context.world.servers
    servers[1].made.clear()
    context.world.list_servers()


@when(
    'a caller requests a {route:S}, a part of its prompt is {status:w}'
    ' and {trial} at the destination, and its engine is listed as leaving'
)
def leave_under_suspicion(context, route, status, trial):
    async def play():
        state = context.world.entry_state
        call = await _begin(context, route)
        exchange = next(iter(context.world.entry._exchanges))  # noqa: SLF001
        # The first event clears its parts.
        await until(lambda: exchange.progress.first_event_seconds)
        part = exchange.plan.part_keys[0]
        now = context.world.loop.time()
        record = state.crashes.quarantine.registry.record(now, part)
        record.add_crash(now, 3 if status == 'blocked' else 1)
        destination = state.servers.get(context.others[0].instance)
        local = state.local_admission(destination, exchange.plan.pool)
        if trial == 'on trial':
            assert local.trials.begin('another')
        context.world.list_servers({context.source.instance})
        return await call

    context.reply = context.world.run(play())


@when(
    'a caller requests a {route:S}, and another engine is ready'
    ' a moment after its own leaves'
)
def become_ready(context, route):
    async def play():
        world = context.world
        call = await _begin(context, route)
        world.list_servers({one.instance for one in world.servers})
        await asyncio.sleep(0.25)
        world.list_servers({context.source.instance})
        return await call

    context.reply = context.world.run(play())


@when('a caller requests a {route:S} whose engines leave one after the other')
def leave_in_turn(context, route):
    async def play():
        world = context.world
        call = await _begin(context, route)
        world.list_servers({context.source.instance})
        await until(lambda: any(one.made for one in context.others))
        left = {one.instance for one in world.servers if one.made}
        world.list_servers(left)
        return await call

    context.reply = context.world.run(play())


@when(
    "a caller that doesn't read for {seconds:g} s requests a {route:S}"
    ' whose engine is listed as leaving'
)
def read_late(context, seconds, route):
    async def play():
        call = await _begin(context, route)
        context.world.list_servers({context.source.instance})
        await until(lambda: _is_asked(context, last=True))
        caller = next(iter(context.world.entry._connections))  # noqa: SLF001
        caller.flow.pause()
        await asyncio.sleep(seconds)
        caller.flow.resume()
        return await call

    context.reply = context.world.run(play())


@when(
    '{count:d} streams have ended at an engine, which responds late once more'
)
def end_before(context, count):
    async def play():
        calls = (context.world.call('stream') for _ in range(count))
        await asyncio.gather(*calls)

    context.world.run(play())
    for server in context.world.servers:
        server.made.clear()


@when("a caller's {route:S} has moved off its engine")
def move_midway(context, route):
    async def play():
        context.early = await _begin(context, route)
        context.world.list_servers({context.source.instance})
        await until(lambda: context.others[0].made)
        await asyncio.sleep(0.05)

    context.world.run(play())


@then('the source has {source:d} permits in use and the destination {other:d}')
def uses_permits(context, source, other):
    local = context.world.entry_state.server_states._local_admissions  # noqa: SLF001
    got = [
        local[one.instance].admission.running
        for one in (context.source, context.others[0])
    ]
    assert got == [source, other], got


@when('{count:d} callers request streams whose engine is listed as leaving')
def request_many(context, count):
    async def play():
        calls = [await _begin(context, 'stream')]
        calls.extend(
            asyncio.ensure_future(context.world.call('stream'))
            for _ in range(count - 1)
        )
        await until(lambda: len(context.source.requests) == count)
        context.world.list_servers({context.source.instance})
        return await asyncio.gather(*calls)

    context.replies = context.world.run(play())


def _events(reply):
    return [int(one) for one in re.findall(rb'data: token (\d+)', reply.body)]


@then("the caller's stream is complete")
def is_complete(context):
    got = _events(context.reply)
    assert got == list(range(1, EVENTS + 1)), got
    assert context.reply.complete, context.reply.raw
    assert context.reply.raw.count(b'HTTP/1.1') == 1, context.reply.raw


@then("the caller's stream is truncated")
def is_truncated(context):
    got = _events(context.reply)
    assert got == list(range(1, len(got) + 1)), got
    assert got, context.reply.raw
    assert not context.reply.complete, context.reply.raw


@then('every response is complete')
def all_complete(context):
    for reply in context.replies:
        context.reply = reply
        is_complete(context)


@then('no event of a once-stream was made twice')
def made_once(context):
    heads = [
        one[0] for server in context.world.servers for one in server.requests
    ]
    if not all(head.startswith(b'POST /once-stream/') for head in heads):
        return
    made = [event for one in context.world.servers for event in one.made]
    assert len(made) == len(set(made)), sorted(made)


@then('the destination got the request with the copy and the last event')
def got_copy(context):
    destination = context.others[0]
    assert len(context.source.requests) == 1, context.source.requests
    assert len(destination.requests) == 1, destination.requests
    fields = destination.requests[0][1]
    origin = f'127.0.0.1:{context.source.port}/r1'
    assert fields['kv-from'] == origin, fields
    assert int(fields['last-event-id']) == context.source.made[-1], fields
    to_address = f'127.0.0.1:{destination.port}'
    assert context.source.calls == [
        {'id': 'r1', 'to': to_address},
        {'id': 'r1', 'to': to_address, 'last': True},
    ], context.source.calls


@then('the source counts neither as failed nor as crashed')
def not_suspected(context):
    state = context.world.entry_state
    source = state.servers.instances[context.source.instance]
    breaker = state.server_states.breaker(source)
    assert not breaker._failures  # noqa: SLF001
    assert not state.crashes._suspects  # noqa: SLF001


@then('the destination got {count:d} requests')
def destination_got(context, count):
    assert len(context.others[0].requests) == count, context.others[0].requests


def _moves(context):
    lines = context.world.lines()
    return [one for one in lines if one['event'] == 'stream_moved']


@then('the move ends as {outcome:w}, with {freed:d} copies freed')
def ends_as(context, outcome, freed):
    lines = [
        one for one in _moves(context) if one['from'] == context.source.instance
    ]
    assert len(lines) == 1, lines
    line = lines[0]
    assert line['outcome'] == outcome, line
    assert line['request'].startswith('r'), line
    assert len(context.source.freed) == freed, context.source.freed
    state = context.world.entry_state
    page = render_metrics(lambda: entry_metrics(state, StoreCounters()))
    counted = f'sardinetrack_stream_moves_total{{by="{outcome}"}} 1.0'
    assert counted in page.decode(), page


@then('{count:d} moves end as {outcome:w}')
def all_end_as(context, count, outcome):
    got = [line['outcome'] for line in _moves(context)]
    assert got == [outcome for _ in range(count)], got


@then('nothing of the move is held any more')
def holds_nothing(context):
    state = context.world.entry_state
    if hasattr(context, 'early'):
        context.world.run(context.early)
    context.world.run(_all_ended(context))
    moves = state.server_states.moves
    assert moves.slots._value == MAX_MOVES  # noqa: SLF001
    assert_nothing_held(state)


@then('{count:d} copies were made at the same time at most')
def copied_at_once(context, count):
    assert context.source.max_copying == count, context.source.max_copying


@then('no engine was asked for a copy, and no move is reported')
def asked_for_none(context):
    assert not any(one.calls for one in context.world.servers)
    assert not _moves(context)


@given(
    'a stream at an engine in domain {domain:w},'
    ' and engines in {domains} with waits {waits}'
)
def place_stream(context, domain, domains, waits):
    context.source = _engine('source', domain)
    context.engines = [
        _engine(f'e-{number}', name)
        for number, name in enumerate(domains.split())
    ]
    context.loads = {
        f'e-{number}': EstimatedLoad(float(seconds))
        for number, seconds in enumerate(waits.split())
    }


def _engine(instance, domain):
    return BackendServer(instance, 'models', '10.0.0.1', 80, domain, 8, False)


@then('its destination is one of {chosen}')
def is_destination(context, chosen):
    servers = [context.source, *context.engines]
    got = {
        choose_destination(
            context.source, servers, context.loads, f'r{number}'
        ).instance
        for number in range(50)
    }
    assert got == {f'e-{number}' for number in chosen.split()}, got


@given('an engine that is known to leave at {seconds:g} s')
def leave_at(context, seconds):
    context.schedule = MoveSchedule()
    assert not context.schedule.is_due(1, leaving=False, has_events=True)
    assert not context.schedule.is_due(seconds, leaving=True, has_events=True)


@then('its stream moves at {seconds:g} s, not before, and not without an event')
def moves_at(context, seconds):
    is_due = context.schedule.is_due
    assert not is_due(seconds - 0.01, leaving=True, has_events=True)
    assert not is_due(seconds, leaving=True, has_events=False)
    assert is_due(seconds, leaving=True, has_events=True)


@then("it also moves if the engine's record is removed")
def moves_unlisted(context):
    assert context.schedule.is_due(9, leaving=False, has_events=True)
