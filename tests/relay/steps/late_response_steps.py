"""Steps for servers that respond twice, the second time late."""

from __future__ import annotations

from behave import then, when

from sardinetrack.relay.metrics import entry_metrics, render_metrics
from sardinetrack.relay.server_connection import MAX_REQUESTS
from sardinetrack.store.api import StoreCounters


@when("the server's next response is followed late by a shed")
def shed_late(context):
    _act(context, 'answer_and_shed_late')


@when("the server's next response is followed late by a 421")
def misdirect_late(context):
    _act(context, 'answer_and_misdirect_late')


@when("the server's next response is followed late by another one")
def repeat_late(context):
    _act(context, 'answer_and_repeat_late')


@when("the server's next response is followed by bytes that are none")
def follow_by_junk(context):
    _act(context, 'answer_and_junk')


@when("the server's next response is followed by a part of another one")
def follow_by_part(context):
    _act(context, 'answer_and_begin')


@when('the server sends a body with its next HEAD response')
def send_body(context):
    _act(context, 'bare_with_body')


@when("the server's next response is followed late by one cut in its {place}")
def cut_late(context, place):
    _act(context, f'answer_and_cut_{place}_late')


@when('the server cuts the body of its next response and repeats it')
def cut_body(context):
    _act(context, 'cut_body_and_repeat')


@when('the server fails its next request and repeats the failure late')
def fail_and_repeat(context):
    _act(context, 'fail_and_repeat_late')


@when(
    '{count:d} callers send reports with the same request id, '
    'one after the other'
)
def send_same_id(context, count):
    world = context.world
    context.replies = [
        world.run(world.call('report', request_id='same')) for _ in range(count)
    ]


@when('as many callers as a connection may serve fetch one after the other')
def fetch_to_the_limit(context):
    world = context.world
    for _ in range(MAX_REQUESTS):
        assert world.run(world.call('fetch')).status == 200
    assert world.entry_state.connections.opened == 1


@then('the entry keeps {count:d} connections to the servers')
def keeps(context, count):
    pool = context.world.entry_state.connections
    kept = sum(
        pool.connections(('127.0.0.1', server.port))
        for server in context.world.servers
    )
    assert kept == count, kept


@when("a late response arrives just before a caller's report is sent")
def late_before_report(context):
    _report_after(context, context.world.servers[0].send_late)


@when("the server closes its connections just before a caller's report is sent")
def end_before_report(context):
    _report_after(context, context.world.servers[0].end_connections)


def _report_after(context, act):
    # No iteration of the event loop lies between the act and the sending, so
    # the entry can't read what the server has done.
    world = context.world
    take = world.entry_state.connections.acquire

    async def act_first(address, **more):
        act()
        return await take(address, **more)

    world.entry_state.connections.acquire = act_first
    context.reply = world.run(world.call('report'))


@when('a caller fetches with a request id of {length:d} characters')
def fetch_with_long_id(context, length):
    context.long_id = 'x' * length
    context.world.run(context.world.call('fetch', request_id=context.long_id))


@then(
    'a line names the discarded response, with {length:d} characters of its id'
)
def line_names_response(context, length):
    lines = [
        line
        for line in context.world.lines()
        if line['event'] == 'response_discarded'
    ]
    assert len(lines) == 1, lines
    assert (
        lines[0].items()
        >= {
            'request': 'r2',
            'server': context.world.servers[0].instance,
            'cause': 'response to another request',
            'other': context.long_id[:length],
            'response_status': 503,
        }.items()
    ), lines


@then('the page counts {count:d} discarded response to another request')
def page_counts_discarded(context, count):
    state = context.world.entry_state
    page = render_metrics(
        lambda: entry_metrics(state, StoreCounters())
    ).decode()
    labels = '{by="response to another request"}'
    expected = f'sardinetrack_responses_discarded_total{labels} {count}.0'
    assert expected in page, page


def _act(context, act):
    for server in context.world.servers:
        server.acts.append(act)


@then('{count:d} connection was opened to the servers')
@then('{count:d} connections were opened to the servers')
def opened(context, count):
    got = context.world.entry_state.connections.opened
    assert got == count, got


@then('{count:d} server may be sent a request')
def may_be_sent(context, count):
    world = context.world
    usable = world.entry_state.usable_servers(world.loop.time(), 'plain')
    assert len(usable) == count, usable


@then('no load of the servers is recorded')
def no_load(context):
    state = context.world.entry_state
    for server in state.servers.in_pool('plain'):
        load = state.server_states.load(server)
        assert load.reported_running == 0, load
        assert load.reported_slowness == 1, load
