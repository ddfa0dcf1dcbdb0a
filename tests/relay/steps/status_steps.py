"""Steps for the statuses of servers' responses."""

from __future__ import annotations

from types import MappingProxyType

from behave import then, when

_BODIES = MappingProxyType(
    {
        'a length': b'Content-Length: 4\r\n\r\ndone',
        'chunks': b'Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n',
        'no length': b'\r\ndone',
    }
)


@when("the server's next response has status {status:w} and {framing}")
def respond_with_status(context, status, framing):
    server = context.world.servers[0]
    server.notices.sent_status = f'{status} Odd'
    server.notices.endless = (b'HEAD%b' % _BODIES[framing], b'')
    server.acts.append('send_head_and_body')


@then('the server counts as failed once')
def counts_as_failed(context):
    state = context.world.entry_state
    server = state.servers.instances[context.world.servers[0].instance]
    breaker = state.server_states.breaker(server)
    assert breaker._failures == 1, breaker._failures  # noqa: SLF001
