"""Steps for what the caller of one request receives, byte by byte."""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from behave import given, then, when
from tests.support.relay_servers import EVENTS

_EVENTS = tuple(
    b'id: %d\ndata: token %d\n\n' % (number, number)
    for number in range(1, EVENTS // 2 + 1)
)
_INTERRUPTED = b''.join(b'%x\r\n%b\r\n' % (len(one), one) for one in _EVENTS)


@given('the routes allow {count:d} servers')
def allow_servers(context, count):
    state = context.world.entry_state
    held = state.configuration
    routes = {
        host: tuple(replace(route, max_servers=count) for route in routes)
        for host, routes in held.routes.items()
    }
    state.configuration = replace(held, routes=routes)


@when('a stream is interrupted, and then gets {act:w}')
def interrupt_and_act(context, act):
    shared = deque(('cut', act))
    for server in context.world.servers:
        server.acts = shared


@then("the caller's response is truncated, and nothing follows its events")
def nothing_follows(context):
    assert context.reply.status == 200
    assert context.reply.body == _INTERRUPTED, context.reply.body


@then('the log reports {count:d} truncated response, because of "{cause}"')
@then('the log reports {count:d} truncated responses, because of "{cause}"')
def reports_truncated(context, count, cause):
    lines = [
        line
        for line in context.world.lines()
        if line['event'] == 'response_truncated'
    ]
    assert len(lines) == count, lines
    assert all(line['cause'] == cause for line in lines), lines
    meters = context.world.entry_state.meters
    assert meters.truncated.total() == count, meters.truncated
