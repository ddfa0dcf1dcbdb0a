"""Steps for servers that turn requests away and ask for rest."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from behave import given, then, when
from tests.support.held_requests import (
    ROUTES,
    call_all,
    hold_streams,
    release_streams,
    release_while_connecting,
    until,
)
from tests.support.relay_servers import SharedActs

from sardinetrack.relay.metrics import entry_metrics, render_metrics
from sardinetrack.store.api import StoreCounters

_SLACK_SECONDS = 0.15


@given('this entry grants itself 8 times as many permits')
def raise_permits(context):
    state = context.world.entry_state
    held = state.configuration
    pools = {
        name: replace(pool, slots=8 * pool.slots)
        for name, pool in held.pools.items()
    }
    state.configuration = replace(held, pools=pools)


@when(
    'the first server that gets a request asks for {seconds:g} seconds of rest'
)
def rest_first(context, seconds):
    shared = SharedActs('rest')
    for server in context.world.servers:
        server.acts = shared
        server.notices.rests.append(seconds)


@when('every server asks for {seconds:g} seconds of rest')
def rest_every(context, seconds):
    rest_often(context, 1, seconds)


@when('every server asks {count:d} times for {seconds:g} seconds of rest')
def rest_often(context, count, seconds):
    for server in context.world.servers:
        for _ in range(count):
            server.acts.append('rest')
            server.notices.rests.append(seconds)


@when('the servers ask for {first:g} and {second:g} seconds of rest')
def rest_both(context, first, second):
    for server, seconds in zip(
        context.world.servers, (first, second), strict=True
    ):
        server.acts.append('rest')
        server.notices.rests.append(seconds)


@when(
    'the server responds to another request and asks for {seconds:g} seconds'
    ' of rest'
)
def rest_other(context, seconds):
    server = context.world.servers[0]
    server.acts.append('rest_other')
    server.notices.rests.append(seconds)


@when('{count:d} callers request streams concurrently')
def stream_concurrently(context, count):
    context.replies = context.world.run(
        call_all(context.world, 'stream', count)
    )


@when('{count:d} callers send reports one after the other')
def report_in_turn(context, count):
    world = context.world
    context.replies = [world.run(world.call('report')) for _ in range(count)]


@when(
    'the server asks two requests for {first:g} and then {second:g} seconds'
    ' of rest'
)
def rest_twice(context, first, second):
    world = context.world
    server = world.servers[0]
    server.acts.extend(('held', 'held'))
    server.notices.held_act = 'rest'
    server.notices.rests.extend((first, second))

    async def play():
        calls = asyncio.ensure_future(call_all(context.world, 'report', 2))
        await until(lambda: len(server.requests) == 2)
        server.notices.released.set()
        await calls

    world.run(play())


@when(
    'a server asks for rest while requests of {count:d} callers'
    ' who {ask} connect to it'
)
def rest_while_connecting(context, count, ask):
    for server in context.world.servers:
        server.notices.rests.append(5)
    context.replies = context.world.run(
        release_while_connecting(context.world, 'rest', ROUTES[ask], count)
    )


@when('the server holds as many streams as it grants permits, and others wait')
def hold(context):
    context.calls = context.world.run(hold_streams(context.world))
    context.held = len(context.world.servers[0].requests)


@when('the server turns them away and asks for {seconds:g} seconds of rest')
def turn_away(context, seconds):
    world = context.world
    world.servers[0].notices.rests.extend(seconds for _ in context.calls)
    context.replies = world.run(release_streams(world, 'rest', context.calls))


@then('the server got only the streams that it held')
def got_only_held(context):
    got = len(context.world.servers[0].requests)
    assert got == context.held, (got, context.held)


@then('the entry keeps the connections of these streams')
def keeps_connections(context):
    address = ('127.0.0.1', context.world.servers[0].port)
    kept = context.world.entry_state.connections.connections(address)
    assert kept == context.held, (kept, context.held)


def _resting(context):
    return next(one for one in context.world.servers if one.notices.rests_until)


@then('the resting server got {count:d} request')
def resting_got(context, count):
    got = len(_resting(context).requests)
    assert got == count, got


@then('the resting server got more than {count:d} request')
def resting_got_more(context, count):
    assert len(_resting(context).requests) > count


@then('the caller gets status {status:d} and returns as the rest ends')
@then('the caller gets status {status:d} and returns as the shortest rest ends')
def returns_at_end(context, status):
    reply = context.replies[-1]
    assert reply.status == status, reply.raw
    ends = min(
        server.notices.rests_until
        for server in context.world.servers
        if server.requests
    )
    early = ends - context.world.loop.time() - reply.retry_after
    # The response has been on its way since the entry stated the time left.
    assert -_SLACK_SECONDS < early <= 0, (early, reply.retry_after)


@when('the time to retry has passed')
def wait_to_retry(context):
    context.world.run(asyncio.sleep(context.replies[-1].retry_after))


@then('no server is suspected, and {count:d} request was retried')
@then('no server is suspected, and {count:d} requests were retried')
def nothing_held_against(context, count):
    events = [line['event'] for line in context.world.lines()]
    assert 'server_suspect' not in events
    assert events.count('request_retried') == count, events
    state = context.world.entry_state
    now = context.world.loop.time()
    assert all(
        state.server_states.allows(now, server)
        for server in state.servers.instances.values()
    )


@then('the entry has opened {count:d} connection')
def opened(context, count):
    got = context.world.entry_state.connections.opened
    assert got == count, got


@then(
    'one line reports the rest of {seconds:g} seconds, with its request'
    ' and status {status:d}'
)
def rest_logged(context, seconds, status):
    lines = [
        line for line in context.world.lines() if line['event'] == 'server_rest'
    ]
    assert len(lines) == 1, lines
    line = lines[0]
    assert line['server'] == 'i-0', line
    assert (line['seconds'], line['status']) == (seconds, status), line
    assert line['request'].startswith('r'), line


@then('the page counts {count:d} rest and shows {now:d} resting server')
def rest_counted(context, count, now):
    state = context.world.entry_state
    page = render_metrics(
        lambda: entry_metrics(state, StoreCounters())
    ).decode()
    assert f'sardinetrack_server_rests_total {count}.0' in page, page
    assert f'sardinetrack_resting_servers {now}.0' in page, page
