"""Steps for servers that respond twice, the second time late."""

from __future__ import annotations

from behave import then, when

from sardinetrack.relay.server_connection import MAX_REQUESTS


@when("the server's next response is followed late by a shed")
def shed_late(context):
    _act(context, 'answer_and_shed_late')


@when("the server's next response is followed late by a 421")
def misdirect_late(context):
    _act(context, 'answer_and_misdirect_late')


@when("the server's next response is followed late by another one")
def repeat_late(context):
    _act(context, 'answer_and_repeat_late')


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
        running = state.server_states.load(server).reported_running
        assert running == 0, running
