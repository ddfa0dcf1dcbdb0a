"""Steps for servers that fall silent for a moment."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from types import MappingProxyType
from unittest import mock

from behave import given, then, when
from tests.support.held_requests import assert_nothing_held, until
from tests.support.relay_servers import ScriptedServer, SharedActs
from tests.support.relay_world import configuration

from sardinetrack.relay import server_choice
from sardinetrack.relay.movable_stream import MovableStream
from sardinetrack.relay.permit import PermitRefusedError
from sardinetrack.topology.configuration import WeightedPool
from sardinetrack.topology.freshness import boot_clock

_CHANGE_SECONDS = 0.4
_REST_SECONDS = 5.0
_PAUSED_EVENT = 10
_UNNUMBERED = 'data: token {number}\n\n'


def _set_routes(context, **changes):
    state = context.world.entry_state
    held = state.configuration
    routes = {
        host: tuple(replace(one, **changes) for one in of_host)
        for host, of_host in held.routes.items()
    }
    version = held.version + 1
    state.configuration = replace(held, version=version, routes=routes)


@given('its server pauses for {seconds:g} seconds before event {number:d}')
def pause_home(context, seconds, number):
    """Let the home server of all streams of these tests pause."""
    world = context.world
    assert world.run(world.call('stream')).complete
    context.home = next(one for one in world.servers if one.requests)
    others = (one for one in world.servers if one is not context.home)
    context.other = next(others, None)
    context.home.requests.clear()
    context.home.notices.stalls[number] = seconds


@when('a stream may be sent to one server')
def send_to_one(context):
    _set_routes(context, max_servers=1)


@when('the retry budget is used up')
def use_up_budget(context):
    budget = context.world.entry_state.budget('models')
    while budget.try_withdraw():
        """Withdraw them all."""


@when('the other server has no free slot')
def fill_other(context):
    acquire = server_choice.acquire_permit

    async def refuse(state, pool, candidate, request):
        if candidate.server.instance == context.other.instance:
            raise PermitRefusedError(1, 'no slot')
        return await acquire(state, pool, candidate, request)

    patch = mock.patch.object(server_choice, 'acquire_permit', refuse)
    patch.start()
    context.add_cleanup(patch.stop)


@when('the other server rests')
def rest(context):
    rests = context.world.entry_state.server_states.rests
    rests.begin(boot_clock(), context.other.instance, _REST_SECONDS)


@when('the other server accepts no connection')
def close_other(context):
    context.world.run(context.other.close())


_ACTS = MappingProxyType(
    {
        'turns it away': 'shed',
        'fails it': 'fail',
        'disconnects': 'reset',
        'is silent too': 'hang',
        'finds nothing': 'find_nothing',
        'accepts it and ends': 'begin_and_crash',
    }
)


@when('the other server is sent it and {act}')
def act_other(context, act):
    context.other.acts.append(_ACTS[act])


def _confirm(freshness):
    freshness.confirm(boot_clock())


@when('the next server that is sent it {act}')
def act_next(context, act):
    shared = SharedActs(_ACTS[act])
    for server in context.world.servers:
        if server is not context.home:
            server.acts = shared
    freshness = context.world.entry_state.freshness
    for seconds in range(1, 6):
        context.world.loop.call_later(seconds, _confirm, freshness)


@given('a stream may be sent to {count:d} servers')
def send_to_several(context, count):
    _set_routes(context, max_servers=count)


@when('a caller requests a resumable stream until its connection ends')
def request_to_end(context):
    """Fail if the connection outlasts the deadline by more than a moment."""
    world = context.world
    context.reply = world.run(world.call('stream', timeout_seconds=4.2))


@when('a caller leaves while the other server has the stream too')
def leave_in_relief(context):
    errors = []
    context.loop_errors = errors
    context.world.loop.set_exception_handler(
        lambda _, details: errors.append(details)
    )

    async def play():
        with suppress(TimeoutError):
            await context.world.call('stream', timeout_seconds=1.6)

    context.world.run(play())
    assert context.other.requests


async def _play_move(context):
    world, events = context.world, ScriptedServer._event  # noqa: SLF001
    call = asyncio.ensure_future(world.call('stream'))
    await until(lambda: any(one.made for one in world.servers))
    source = next(one for one in world.servers if one.made)
    others = [one for one in world.servers if one is not source]
    for other in others:
        other.acts.append('shed')

    async def pause(fields, number):
        await asyncio.sleep(1.5 if number == _PAUSED_EVENT else 0)
        return await events(source, fields, number)

    source._event = pause  # noqa: SLF001
    await until(lambda: any(one.requests for one in others))
    await until(lambda: _PAUSED_EVENT + 1 in source.made)
    for other in others:
        other.acts.clear()
    exchange = next(iter(world.entry._exchanges))  # noqa: SLF001
    world.list_servers({source.instance})
    await until(lambda: any(one.made for one in others))
    exchange.check(world.entry.now())
    context.watches_ended = exchange._run.attempt.done.done()  # noqa: SLF001
    await call


@when('a stream moves that another server has turned away in a silence')
def move_after_relief(context):
    """Look at the stream also between the two runs, as a sweep may."""
    world, send_on = context.world, MovableStream._send_on  # noqa: SLF001

    async def check_and_send_on(stream, move, stopped):
        for exchange in world.entry._exchanges:  # noqa: SLF001
            exchange.check(world.entry.now())
        return await send_on(stream, move, stopped)

    with mock.patch.object(MovableStream, '_send_on', check_and_send_on):
        world.run(_play_move(context))


@then('the server that it moved to is watched')
def is_watched(context):
    assert not context.watches_ended, 'an attempt that has ended is watched'


@then('no exception is left over')
def none_left(context):
    assert not context.loop_errors, context.loop_errors


@when('the other server has other software')
def change_software(context):
    context.home.version = 'v1'
    context.other.version = 'v2'
    context.world.list_servers()


@when('the events have no numbers')
def remove_numbers(context):
    for server in context.world.servers:
        server.event_form = _UNNUMBERED


def _change_later(context, change):
    context.world.loop.call_later(_CHANGE_SECONDS, change)


@when('the route is removed in the silence')
def remove_route(context):
    state = context.world.entry_state

    def change():
        held = state.configuration
        version = held.version + 1
        state.configuration = replace(held, version=version, routes={})

    _change_later(context, change)


@when('the key is revoked in the silence')
def revoke_key(context):
    def change():
        later = configuration(9, keys=('other',))
        context.world.entry_state.configuration = later

    _change_later(context, change)


@when('the route leads elsewhere after the silence began')
def move_route(context):
    pools = (WeightedPool('plain', 1),)
    _change_later(context, lambda: _set_routes(context, pools=pools))


@when(
    'every server is listed with start {started:d} and revision {revision:d}'
    ' a moment later'
)
def list_later(context, started, revision):
    def change():
        context.world.list_servers(started=started, revision=revision)

    _change_later(context, change)


@then('the caller had it all within {seconds:d} seconds')
def had_it_within(context, seconds):
    context.lines = context.world.lines()
    ended = [
        line['took_seconds']
        for line in context.lines
        if line['event'] == 'request_ended'
    ]
    assert ended[-1] < seconds, ended


@then('the line on the silent server says {outcome}')
def says_outcome(context, outcome):
    lines = getattr(context, 'lines', None) or context.world.lines()
    silent = [line for line in lines if line['event'] == 'server_silent']
    assert [line['outcome'] for line in silent] == [outcome], silent
    assert silent[0]['server'] == context.home.instance, silent
    counts = context.world.entry_state.meters.streams.silences
    assert +counts == {outcome: 1}, counts


@then('the retry budget is full')
def budget_is_full(context):
    budget = context.world.entry_state.budget('models')
    assert budget._tokens == budget._burst, budget._tokens  # noqa: SLF001


@then('the other server sees its connection close')
def sees_close(context):
    context.world.run(until(context.other.gone.is_set))


@then('nothing is held for the stream any more')
def holds_nothing(context):
    world = context.world
    world.run(until(lambda: not world.entry._exchanges))  # noqa: SLF001
    assert_nothing_held(world.entry_state)
