"""Steps for servers that restart under the same id."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from tests.support.relay_servers import SharedActs

from sardinetrack.placement.load import FIRST_RATE
from sardinetrack.routing.breaker import FAILURE_THRESHOLD, BreakerState
from sardinetrack.topology.starts import ServerStart

_PREFIX = 'p7'
_RATE = 90_000


@given(
    'every server is listed with start {started:d} and revision {revision:d}'
)
@when('every server is listed with start {started:d} and revision {revision:d}')
def list_start(context, started, revision):
    async def act():
        context.world.list_servers(started=started, revision=revision)

    context.world.run(act())


def _first(context):
    return context.world.entry_state.servers.instances['i-0']


@given('the first server caches prefix p7, is loaded, and its breaker is open')
def set_state(context):
    async def act():
        state, server = context.world.entry_state, _first(context)
        now = asyncio.get_running_loop().time()
        state.prefix_index.record(now, server.ip, (_PREFIX,))
        state.server_states.load(server).update(3, _RATE)
        kept = await state.connections.acquire(server.address)
        state.connections.release(server.address, kept)
        breaker = state.server_states.breaker(server)
        for _ in range(FAILURE_THRESHOLD):
            breaker.request_failed(now, breaker.generation)

    context.world.run(act())


@when(
    'a side reports to the entry that the first server started at {started:d}, '
    'revision {revision:d}',
)
def side_reports(context, started, revision):
    async def act():
        start = ServerStart('i-0', started, revision)
        context.world.entry_state.started(start)

    context.world.run(act())


def _states(context):
    entry_state, server = context.world.entry_state, _first(context)
    load = entry_state.server_states.load(server)
    return (
        bool(
            entry_state.prefix_index.servers_with(
                context.world.loop.time(), _PREFIX
            )
        ),
        entry_state.server_states.breaker(server).state is BreakerState.OPEN,
        load.rate_tokens == _RATE and load.reported_wait_seconds == 3,
        entry_state.connections.connections(server.address) == 1,
    )


@then('the entry has no state of the former start')
def has_no_state(context):
    assert not any(_states(context)), _states(context)
    load = context.world.entry_state.server_states.load(_first(context))
    assert (load.rate_tokens, load.reported_wait_seconds) == (FIRST_RATE, 0)


@then('the entry has kept its state of the server')
def has_kept_state(context):
    assert all(_states(context)), _states(context)


@then('the known start of the first server is {started:d}')
def known_start(context, started):
    assert _first(context).started_milliseconds == started


@when('a caller requests a resumable stream, and its server restarts')
def stream_restart(context):
    world = context.world

    async def play():
        call = asyncio.ensure_future(world.call('stream'))
        await asyncio.sleep(0.2)
        began = world.loop.time()
        world.list_servers(started=950, revision=30)
        context.reply = await call
        context.took_seconds = world.loop.time() - began

    world.run(play())


@when('the next report of a start closes its connection')
def close_report(context):
    shared = SharedActs('Connection: close\r\n')
    for server in context.world.servers:
        server.notices.report_fields = shared


@when('a caller sends a report, and its server crashes and restarts')
def report_restart(context):
    world = context.world

    async def play():
        call = asyncio.ensure_future(world.call('report'))
        await world.servers[0].asked.wait()
        world.list_servers(started=950, revision=30)
        _abort_all(world.servers[0])
        context.reply = await call

    world.run(play())


def _abort_all(server):
    for writer in list(server.writers):
        writer.transport.abort()


@when(
    '{count:d} callers send reports whose server crashes '
    'after its restart is listed',
)
def reports_restart(context, count):
    world = context.world

    async def play():
        calls = [
            asyncio.ensure_future(world.call('report')) for _ in range(count)
        ]
        await asyncio.sleep(0.2)
        assert len(world.servers[0].requests) == count
        world.list_servers(started=950, revision=30)
        _abort_all(world.servers[0])
        await asyncio.gather(*calls)

    world.run(play())


@then('the breaker of the first server is closed')
def breaker_closed(context):
    breaker = context.world.entry_state.server_states.breaker(_first(context))
    assert breaker.state is BreakerState.CLOSED


@then('a request is suspected')
def suspected(context):
    assert len(context.world.entry_state.crashes.strike_registry) == 1


@then(
    'the caller receives all events once and the end within {seconds:d} second'
)
def receives_all_soon(context, seconds):
    context.execute_steps(
        'Then the caller receives all events once and the end'
    )
    assert context.took_seconds < seconds, context.took_seconds
