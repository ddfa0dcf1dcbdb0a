"""Steps for bodies that are large for the memory of an entry."""

from __future__ import annotations

import asyncio
import socket

from behave import given, step, then, when
from tests.support.example_settings import node_settings
from tests.support.relay_world import RelayWorld, Reply, close_world

from sardinetrack.relay.capacity import (
    BASE_BYTES,
    HELD_FRACTION,
    Capacity,
)
from sardinetrack.relay.held_bytes import HeldBytes
from sardinetrack.relay.response_collector import ResponseCollector
from sardinetrack.relay.server_connection import ServerConnection

_MEGABYTE = 1_000_000
_PIECE = 65_536


def _body(number, size_bytes):
    return (b'%d ' % number).ljust(8, b'.') * (size_bytes // 8)


class _Caller:
    """Sends half of a body, and the other half later."""

    def __init__(self, world, number, size_bytes):
        self.body = _body(number, size_bytes)
        self.early = b''
        self.reply = None
        self._request = world.request('report', body=self.body)
        self._half = len(self._request) // 2
        self._port = world.port

    async def send_half(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self._port)
        self._reader = reader
        self.writer = writer
        self.writer.write(self._request[: self._half])
        try:
            async with asyncio.timeout(0.5):
                self.early = await self._reader.readuntil(b'\r\n\r\n')
        except TimeoutError:
            """There is room for it."""

    async def send_rest(self):
        self.writer.write(self._request[self._half :])
        async with asyncio.timeout(5):
            self.reply = Reply(self.early + await self._reader.read())
        self.writer.close()


@given('a relay in front of 1 plain server, for bodies in {megabytes:d} MB')
def open_relay(context, megabytes):
    context.world = RelayWorld()
    context.add_cleanup(close_world, context.world)
    available = int(megabytes * _MEGABYTE / HELD_FRACTION)
    context.world.run(
        context.world.open(plain=1, memory_bytes=BASE_BYTES + available),
    )
    # The entry shares the memory of the process that runs the tests.
    context.world.entry.capacity._used_bytes = int


@when('{count:d} callers send half of a body of {megabytes:d} MB each')
def send_halves(context, count, megabytes):
    context.callers = [
        _Caller(context.world, number, megabytes * _MEGABYTE)
        for number in range(count)
    ]

    async def send():
        await asyncio.gather(*(one.send_half() for one in context.callers))

    context.world.run(send())


@then('some of them are refused at once with status 503 and when to retry')
def refused_at_once(context):
    refused = [Reply(one.early) for one in context.callers if one.early]
    assert 0 < len(refused) < len(context.callers), len(refused)
    _check_refusals(refused)


@then('all of them are refused at once with status 503 and when to retry')
def all_refused_at_once(context):
    refused = [Reply(one.early) for one in context.callers if one.early]
    assert len(refused) == len(context.callers), len(refused)
    _check_refusals(refused)


def _check_refusals(refused):
    assert all(one.status == 503 for one in refused), refused
    assert all(one.retry_after is not None for one in refused), refused


@then('the entry holds {megabytes:d} MB at most')
def holds_at_most(context, megabytes):
    context.world.run(asyncio.sleep(0.1))
    held = context.world.entry.held.total_bytes
    assert held <= megabytes * _MEGABYTE, held


@when('another caller sends a report')
def send_report(context):
    context.reply = context.world.run(context.world.call('report'))


@when('the callers send the rest')
def send_rest(context):
    async def send():
        await asyncio.gather(*(one.send_rest() for one in context.callers))

    context.world.run(send())


@when('they disconnect')
def disconnect(context):
    async def close():
        for one in context.callers:
            one.writer.close()

    context.world.run(close())


@then('those that were not refused get status 200')
def others_served(context):
    statuses = [one.reply.status for one in context.callers]
    expected = [503 if one.early else 200 for one in context.callers]
    assert statuses == expected, statuses


@then('the server received each body whole')
def received_whole(context):
    sent = {one.body for one in context.callers if not one.early}
    requests = context.world.servers[0].requests
    received = {body for _, _, body in requests if body}
    assert received == sent, (len(received), len(sent))


@then('the log has a line for each refusal')
def logs_refusals(context):
    lines = context.world.lines()
    logged = [line for line in lines if line.get('status') == 503]
    refused = [one for one in context.callers if one.early]
    assert len(logged) == len(refused), logged
    counted = context.world.entry_state.meters.bodies.refused
    assert counted == len(refused), counted


@when('a caller sends a body of {megabytes:d} MB in chunks')
def send_chunks(context, megabytes):
    _send_chunks(context, megabytes, b'0\r\n\r\n')


@when(
    'a caller sends a body of {megabytes:d} MB in chunks, the last one invalid',
)
def send_invalid_chunk(context, megabytes):
    _send_chunks(context, megabytes, b'no size\r\n\r\n')


@given(
    'an entry of {megabytes:d} MB with {connections:d} connections,'
    ' of which {requests:d} have a request',
)
def open_capacity(context, megabytes, connections, requests):
    settings = node_settings(memory_bytes=megabytes * _MEGABYTE)
    capacity = Capacity(settings, int)
    context.limit_bytes = capacity.max_held_bytes(requests, connections)


@then('it may hold {megabytes:d} MB of large bodies at least')
def may_hold(context, megabytes):
    assert context.limit_bytes >= megabytes * _MEGABYTE, context.limit_bytes


def _send_chunks(context, megabytes, end):
    world = context.world

    async def send():
        pair = await asyncio.open_connection('127.0.0.1', world.port)
        head = world.request('report', ('Transfer-Encoding: chunked',))
        pair[1].write(head.replace(b'Content-Length: 0\r\n', b''))
        chunk = b'%x\r\n%b\r\n' % (_PIECE, bytes(_PIECE))
        for _ in range(megabytes * _MEGABYTE // _PIECE):
            pair[1].write(chunk)
            await pair[1].drain()
        pair[1].write(end)
        async with asyncio.timeout(5):
            return Reply(await pair[0].read())

    context.reply = world.run(send())


@when(
    'a body of {megabytes:d} MB is sent to a server'
    ' that reads nothing for a while',
)
def send_unread(context, megabytes):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.listening = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(context.listening.close)
    context.body = _body(0, megabytes * _MEGABYTE)

    async def send():
        loop = asyncio.get_running_loop()
        made = await loop.create_connection(
            ServerConnection, *context.listening.getsockname()
        )
        context.connection = made[1]
        context.connection.send(b'', ResponseCollector(), body=context.body)
        await asyncio.sleep(0.2)

    context.loop.run_until_complete(send())


@then('{megabytes:g} MB of it wait in the connection at most')
def waits_at_most(context, megabytes):
    size = context.connection.transport.get_write_buffer_size()
    assert size <= megabytes * _MEGABYTE, size


@then('the server receives all of it when it reads')
def receives_all(context):
    async def read():
        loop = asyncio.get_running_loop()
        accepted = context.listening.accept()[0]
        accepted.setblocking(False)
        received = b''
        async with asyncio.timeout(5):
            while len(received) < len(context.body):
                received += await loop.sock_recv(accepted, 1_000_000)
        accepted.close()
        context.connection.abort()
        assert received == context.body

    context.loop.run_until_complete(read())


@given('an account of {megabytes:d} MB')
def open_account(context, megabytes):
    context.account = HeldBytes(lambda: megabytes * _MEGABYTE)


@when('{workspace} adds bodies of {megabytes:d} MB until it is refused')
def add_until_refused(context, workspace, megabytes):
    while context.account.try_add(workspace, megabytes * _MEGABYTE):
        """Bounded by the limit of the account."""


@then('it holds {megabytes:d} MB at most')
def account_holds(context, megabytes):
    assert context.account.total_bytes <= megabytes * _MEGABYTE


@step('{workspace} may add a body of {megabytes:d} MB')
def may_add(context, workspace, megabytes):
    assert context.account.try_add(workspace, megabytes * _MEGABYTE)


@then('{workspace} may add none')
def may_not_add(context, workspace):
    assert not context.account.try_add(workspace, 1)
