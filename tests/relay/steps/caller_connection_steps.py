"""Steps for a caller's connection over a transport that nobody reads."""

from __future__ import annotations

import asyncio
import io
from unittest import mock

from behave import given, then, when

from sardinetrack.platform.protocol_adapter import PlatformProtocolAdapter
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.held_bytes import HeldBytes
from sardinetrack.topology.configuration import CallerLimits

_ITERATIONS = 10
"""Of the event loop; a request ends in a few."""
_CONTINUE = b'HTTP/1.1 100 Continue'
_REQUEST = b'GET /report/a HTTP/1.1\r\nhost: h\r\n\r\n'
_IN_CHUNKS = (
    b'POST /report/a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n'
    b'\r\n1\r\nx\r\n0\r\n\r\n'
)
_EXPECTING = (
    b'POST /report/a HTTP/1.1\r\nhost: h\r\ncontent-length: 100000\r\n'
    b'expect: 100-continue\r\n\r\n'
)


def _open(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.room = 10_000_000
    account = HeldBytes(lambda: context.room)
    context.finished = asyncio.Event()

    async def serve(_call, caller):
        await context.finished.wait()
        caller.response.send(200, b'', b'done')

    owner = mock.Mock(limits=CallerLimits(), serve=serve)
    owner.now.return_value = 0
    owner.hold_head.side_effect = lambda: account.open('')
    owner.hold_body.side_effect = lambda _: account.open('w')
    owner.refuse.side_effect = lambda _call, caller, _error: (
        caller.response.send(503, b'', b'')
    )
    context.transport = mock.Mock()
    context.transport.is_closing.return_value = False
    context.transport.get_write_buffer_size.return_value = 0
    context.transport.get_extra_info.return_value = None
    adapter = PlatformProtocolAdapter()
    context.connection = CallerConnection(adapter, owner)
    context.connection.connection_made(context.transport)


def _receive(context, piece):
    async def receive():
        buffer = context.connection.get_buffer(-1)
        read = io.BytesIO(piece).readinto(buffer)
        context.connection.buffer_updated(read)
        await asyncio.sleep(0)

    context.runner.run(receive())


def _written(context):
    calls = context.transport.write.call_args_list
    return b''.join(call.args[0] for call in calls)


@given('a connection whose caller reads {rate:d} bytes a second of {size:d}')
def unread_response(context, rate, size):
    _open(context)
    context.rate = rate
    context.unsent = size


@when(
    'it is checked each second for {seconds:d} seconds,'
    ' with {allowed:d} allowed'
)
def check_each_second(context, seconds, allowed):
    for second in range(1, seconds + 1):
        unsent = context.unsent - context.rate * second
        context.transport.get_write_buffer_size.return_value = unsent
        context.connection.expire(second, allowed)


@when('it is evicted')
def evict(context):
    context.transport.get_write_buffer_size.return_value = context.unsent
    assert context.connection.evict()


@then('it is open')
def is_open(context):
    context.transport.abort.assert_not_called()
    context.transport.close.assert_not_called()


@then('it is aborted')
def is_aborted(context):
    context.transport.abort.assert_called()


@given('a connection with a request in progress')
def request_in_progress(context):
    _open(context)
    _receive(context, _REQUEST)
    assert context.connection.busy


@given('a connection')
def idle_connection(context):
    _open(context)


@when('a request in chunks and another one arrive in one piece')
def arrive_together(context):
    _receive(context, b''.join((_IN_CHUNKS, _REQUEST)))


@when('the response ends')
def end_response(context):
    async def end():
        context.finished.set()
        for _ in range(_ITERATIONS):
            await asyncio.sleep(0)

    context.runner.run(end())


@then('the connection closes, and one request was served')
def closes_after_one(context):
    context.transport.close.assert_called()
    assert _written(context).count(b'HTTP/1.1 200') == 1


@when('the next request expects to be invited')
def expect_invitation(context):
    _receive(context, _EXPECTING)


@when('the next request expects to be invited, and has no room')
def expect_without_room(context):
    context.room = 0
    _receive(context, _EXPECTING)


@when('the response ends while its caller does not read')
def end_unread(context):
    async def end():
        context.connection.pause_writing()
        context.finished.set()
        for _ in range(_ITERATIONS):
            await asyncio.sleep(0)
        assert not context.connection.busy

    context.runner.run(end())


@then('the caller is not invited yet')
def not_invited(context):
    assert _CONTINUE not in _written(context)


@when('the caller reads')
def read_on(context):
    async def resume():
        context.connection.resume_writing()

    context.runner.run(resume())


@then('the caller is invited')
def invited(context):
    assert _written(context).count(_CONTINUE) == 1


@then('the caller is refused with status {status:d}')
def refused(context, status):
    assert b'HTTP/1.1 %d ' % status in _written(context)
    assert _CONTINUE not in _written(context)
