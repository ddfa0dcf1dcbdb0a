"""Steps for responses that end with their connection."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import replace
from types import MappingProxyType

from behave import given, then, when
from tests.support.relay_servers import EVENTS, SharedActs
from tests.support.relay_world import Reply

from sardinetrack.topology.freshness import boot_clock

_START_MILLISECONDS = 1_700_000_000_000


@given('their responses state no length')
def state_no_length(context):
    for server in context.world.servers:
        server.notices.states_length = False


@given('the servers state no length, and report after {seconds:g} s')
def report_late(context, seconds):
    state_no_length(context)
    for server in context.world.servers:
        server.notices.report_delay_seconds = seconds


@when('one of its servers ends in the middle of its next response')
def end_midway(context):
    _act_once(context, 'close_midway')


@when('one of its servers restarts in the middle of its next response')
def restart_midway(context):
    context.world.list_servers(started=_START_MILLISECONDS)
    _act_once(context, 'restart_midway')


@when('one of its servers, which leaves now, cuts its next response')
def leave_midway(context):
    for server in context.world.servers:
        server.notices.leaves_milliseconds = 0
    _act_once(context, 'leave_midway')


@when('one of its servers reports more events than its next response has')
def cut_midway(context):
    _act_once(context, 'cut_midway')


@when(
    'one of its servers is another one, which {tells:w} its id,'
    ' in the middle of its next response'
)
def rename_midway(context, tells):
    _act_once(context, 'rename_midway')
    world = context.world
    if tells == 'tells':
        state = world.entry_state
        pools = {
            name: replace(pool, health_path='/healthz')
            for name, pool in state.configuration.pools.items()
        }
        state.configuration = replace(state.configuration, pools=pools)
        return

    async def list_again():
        renamed = [one.notices.renamed.wait() for one in world.servers]
        tasks = {asyncio.ensure_future(one) for one in renamed}
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        state = world.entry_state
        former = {one.address: one for one in state.servers.in_pool('models')}
        for server in world.servers:
            listed = former[server.ip, server.port]
            if listed.instance != server.instance:
                new = replace(listed, instance=server.instance, revision=9)
                state.servers.put(boot_clock(), new)

    context.relisting = world.loop.create_task(list_again())


@given('the list lags behind a restart of each')
def restart_unlisted(context):
    context.world.list_servers(started=_START_MILLISECONDS)
    for server in context.world.servers:
        server.notices.restarts = 1


@given('their streams pause for {seconds:g} s')
def pause_streams(context, seconds):
    for server in context.world.servers:
        server.notices.stalls[EVENTS // 2] = seconds


@when('their streams pause no more')
def pause_no_more(context):
    for server in context.world.servers:
        server.notices.stalls.clear()


@when('{count:d} callers request streams at the same time')
def request_at_once(context, count):
    world = context.world

    async def play():
        calls = (world.call('stream') for _ in range(count))
        return await asyncio.gather(*calls)

    context.replies = world.run(play())


@then('each of them has all events once and the end')
def all_have_all(context):
    assert all(_is_all_events(one) for one in context.replies), [
        one.lines[0] for one in context.replies
    ]


@given('the servers report that they leave in {reported}')
def report_leaving(context, reported):
    if 'digits' in reported:
        reported = '1'.ljust(400, '0')
    for server in context.world.servers:
        server.notices.leaves_milliseconds = json.loads(reported)


def _act_once(context, act):
    shared = SharedActs(act)
    for server in context.world.servers:
        server.acts = shared


@when('a caller reads the response to a {name:S} as it comes')
def send(context, name):
    world = context.world

    async def read():
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(world.request(name))
        raw = b''
        context.last_event_seconds = 0
        async with asyncio.timeout(5):
            while piece := await reader.read(65_536):
                raw += piece
                if b'data: token' in piece:
                    context.last_event_seconds = world.loop.time()
        writer.close()
        return Reply(raw)

    began = world.loop.time()
    context.reply = world.run(read())
    context.took_seconds = world.loop.time() - began


@then('its last event came before that report')
def events_do_not_wait(context):
    for server in context.world.servers:
        reported = server.notices.reported_seconds
        assert not reported or context.last_event_seconds < reported


def _numbers(reply):
    return [int(one) for one in re.findall(rb'data: token (\d+)', reply.body)]


def _is_all_events(reply):
    complete = reply.complete and reply.raw.count(b'HTTP/1.1') == 1
    return complete and _numbers(reply) == list(range(1, EVENTS + 1))


def _is_truncated(reply):
    got = _numbers(reply)
    return not reply.complete and got == list(range(1, EVENTS // 2 + 1))


def _is_whole(reply):
    match = re.fullmatch(rb'done by \d+', reply.body)
    return reply.status == 200 and match is not None


_RESULTS = MappingProxyType(
    {
        'all events once and the end': _is_all_events,
        'a truncated stream': _is_truncated,
        'the whole response': _is_whole,
        'status 502': lambda reply: reply.status == 502,
    }
)


@then('what the caller has got is {result}')
def gets(context, result):
    assert _RESULTS[result](context.reply), context.reply.raw
