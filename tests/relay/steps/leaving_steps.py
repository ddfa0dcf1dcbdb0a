"""Steps for servers that say in a response that they leave."""

from __future__ import annotations

import asyncio

from behave import then, when
from tests.support.held_requests import (
    REQUESTS,
    ROUTES,
    release_streams,
    release_while_connecting,
    until,
)
from tests.support.relay_servers import SharedActs

from sardinetrack.relay.metrics import entry_metrics, render_metrics
from sardinetrack.store.api import StoreCounters
from sardinetrack.topology.freshness import boot_clock


@when('the first server that gets a request leaves')
def leave_first(context):
    leave_first_with(context, 'answer')


@when('the first server that gets a request leaves, and its act is {act:w}')
def leave_first_with(context, act):
    shared = SharedActs('leave')
    for server in context.world.servers:
        server.acts = shared
        server.notices.leaving_act = act


@when(
    'a server says that it leaves while requests of {count:d} callers'
    ' who {ask} connect to it'
)
def leave_while_connecting(context, count, ask):
    context.replies = context.world.run(
        release_while_connecting(context.world, 'leave', ROUTES[ask], count)
    )


@when('the server serves them and says that it leaves')
def serve_and_leave(context):
    world = context.world
    context.replies = world.run(release_streams(world, 'leave', context.calls))


@then('those that waited get status {status:d}')
def waiting_get(context, status):
    statuses = [reply.status for reply in context.replies]
    waiting = REQUESTS - context.held
    assert statuses.count(status) == waiting, statuses
    assert statuses.count(200) == context.held, statuses


def _leaving(context):
    return next(one for one in context.world.servers if one.notices.leaving)


@then('the leaving server got {count:d} request')
def leaving_got(context, count):
    got = len(_leaving(context).requests)
    assert got == count, got


@then('no caller got the header of the leaving server')
def header_not_forwarded(context):
    for reply in context.replies:
        assert not any('leaving' in line for line in reply.lines), reply.lines


@when('a stream runs there while 6 callers request streams one after the other')
def stream_beside(context):
    world = context.world

    async def play():
        context.early = asyncio.ensure_future(world.call('stream'))
        await until(lambda: any(one.notices.leaving for one in world.servers))
        await asyncio.sleep(0.05)
        context.replies = [await world.call('stream') for _ in range(6)]
        assert not context.early.done()
        context.early = await context.early

    world.run(play())


@then('the stream that started before is complete')
def early_complete(context):
    assert context.early.complete, context.early.raw


@then('the first server is not leaving')
def first_stays(context):
    state = context.world.entry_state
    assert context.world.servers[0].requests
    assert not state.servers.instances['i-0'].leaving


@when('the store is unreachable for a moment')
def lose_store(context):
    context.world.entry_state.servers.times.record_failure(boot_clock())


@when('the leaving server has restarted')
def restart_leaving(context):
    _leaving(context).notices.leaving = False


@when('the former start says that it leaves, after the later one is listed')
def leave_late(context):
    world = context.world
    server = world.servers[0]
    server.acts.append('held')
    server.notices.held_act = 'leave'

    async def play():
        call = asyncio.ensure_future(world.call('report'))
        await server.asked.wait()
        world.list_servers(started=950, revision=30)
        server.notices.released.set()
        await call
        server.notices.leaving = False

    world.run(play())


@when(
    "a caller's request runs at the server, which says to another"
    ' that it leaves'
)
def leave_beside(context):
    world = context.world
    server = world.servers[0]
    server.acts.extend(('hang', 'leave'))

    async def play():
        context.early = asyncio.ensure_future(world.call('report'))
        await server.asked.wait()
        assert (await world.call('report')).status == 200

    world.run(play())


@when('the server closes its connections and is no longer listed')
def disappear(context):
    world = context.world
    state = world.entry_state

    async def play():
        for writer in list(world.servers[0].writers):
            writer.transport.abort()
        assert (await context.early).status == 502
        state.servers.replace(boot_clock(), [])
        state.apply_server_changes()

    world.run(play())


@then('one line reports that the server leaves, with its request')
def leaving_logged(context):
    lines = [
        line
        for line in context.world.lines()
        if line['event'] == 'server_leaving'
    ]
    assert len(lines) == 1, lines
    line = lines[0]
    assert line['server'] == _leaving(context).instance, line
    assert line['source'] == 'response', line
    assert line['request'].startswith('r'), line


@then('the page counts {count:d} announced leaving')
def leaving_counted(context, count):
    state = context.world.entry_state
    page = render_metrics(
        lambda: entry_metrics(state, StoreCounters())
    ).decode()
    assert f'sardinetrack_leaving_announced_total {count}.0' in page, page
