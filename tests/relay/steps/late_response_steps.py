"""Steps for servers that respond twice, the second time late."""

from __future__ import annotations

from behave import then, when


@when("the server's next response is followed late by a shed")
def shed_late(context):
    _act(context, 'answer_and_shed_late')


@when("the server's next response is followed late by a 421")
def misdirect_late(context):
    _act(context, 'answer_and_misdirect_late')


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
