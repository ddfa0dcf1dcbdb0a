"""Steps for callers' connections and the end of an entry."""

from __future__ import annotations

import asyncio
import os
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from tests.support.relay_world import RelayWorld, Reply, close_world

from sardinetrack.relay.capacity import BASE_BYTES, REQUEST_BYTES
from sardinetrack.relay.entry import LEAVE_SECONDS


@when('{count:d} callers fetch one after the other and stay connected')
def fetch_and_stay(context, count):
    async def fetch_all():
        world = context.world
        context.kept = []
        for _ in range(count):
            pair = await asyncio.open_connection('127.0.0.1', world.port)
            pair[1].write(world.request('fetch', closes=False))
            await pair[0].readuntil(b'\r\n\r\n')
            context.kept.append(pair)

    context.world.run(fetch_all())


@when('a caller leaves after it has asked for a stream')
def leave(context):
    async def ask_and_leave():
        world = context.world
        _, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(world.request('stream'))
        await world.servers[0].asked.wait()
        writer.close()
        began = world.loop.time()
        await asyncio.wait_for(world.servers[0].gone.wait(), 2)
        return world.loop.time() - began

    context.took_seconds = context.world.run(ask_and_leave())


@given(
    'a relay before {plain:d} plain server'
    ' with memory for {requests:d} requests',
)
def open_little_memory(context, plain, requests):
    context.world = RelayWorld()
    context.add_cleanup(close_world, context.world)
    memory_bytes = BASE_BYTES + requests * REQUEST_BYTES
    context.world.run(
        context.world.open(plain=plain, memory_bytes=memory_bytes),
    )


@when('every server hangs on its next {count:d} requests')
def hang_often(context, count):
    for server in context.world.servers:
        server.acts.extend('hang' for _ in range(count))


@when('{count:d} callers send reports at once, and the first {gone:d} leave')
def send_and_leave(context, count, gone):
    async def send():
        world = context.world
        calls = [
            asyncio.ensure_future(world.call('report')) for _ in range(count)
        ]
        await asyncio.sleep(0.3)
        for call in calls:
            if not call.done():
                call.cancel()
        ends = await asyncio.gather(*calls, return_exceptions=True)
        return [end for end in ends if isinstance(end, Reply)]

    context.replies = context.world.run(send())


@when('the loop was {seconds:d} second late')
def be_late(context, seconds):
    context.world.entry.capacity.note_late(seconds)


@when('the loop was on time for a while')
def be_on_time(context):
    for _ in range(10):
        context.world.entry.capacity.note_late(0)


@then('{count:d} of them get status {status:d} and when to come back')
def some_refused(context, count, status):
    told = [one for one in context.replies if one.status == status]
    assert len(told) == count, context.replies
    assert all(one.retry_after is not None for one in told)


@then('the entry says that it is not ready')
def not_ready(context):
    assert not context.world.entry.ready


@when('a caller hides a request behind two lengths')
def hide(context):
    async def send_hidden():
        world = context.world
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            world.port,
        )
        hidden = world.request('report')
        writer.write(
            b'POST /report/x HTTP/1.1\r\nHost: h.example\r\n'
            b'X-Sardinetrack-Request-Id: outer\r\n'
            b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\n%b' % (len(hidden) + 5, hidden),
        )
        raw = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return Reply(raw)

    context.reply = context.world.run(send_hidden())


@when('a caller sends {count:d} requests ahead on one connection')
def send_ahead(context, count):
    async def send_all():
        world = context.world
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            world.port,
        )
        writer.write(
            b''.join(
                world.request('fetch', closes=number == count)
                for number in range(1, count + 1)
            ),
        )
        raw = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return raw

    context.raw = context.world.run(send_all())


@when('the entry is stopped while a caller reads a stream')
def stop_entry(context):
    async def stop():
        world = context.world
        call = asyncio.ensure_future(world.call('stream'))
        await world.servers[0].asked.wait()
        await world.entry.drain()
        return await call

    context.reply = context.world.run(stop())


@when('the entry is stopped and {seconds:g} seconds later a caller asks')
def stop_and_ask(context, seconds):
    async def stop():
        world = context.world
        first = asyncio.ensure_future(world.call('stream', timeout_seconds=9))
        await world.servers[0].asked.wait()
        drain = asyncio.ensure_future(world.entry.drain())
        await asyncio.sleep(seconds)
        reply = await world.call('once-stream')
        for task in (first, drain):
            task.cancel()
        await asyncio.gather(first, drain, return_exceptions=True)
        return reply

    context.reply = context.world.run(stop())


def _ask(port, request):
    with socket.create_connection(('127.0.0.1', port), timeout=5) as link:
        try:
            link.sendall(request)
            return Reply(b''.join(iter(lambda: link.recv(4096), b'')))
        except ConnectionError as error:
            return error


def _hold_up(seconds):
    time.sleep(seconds)


@when(
    '{count:d} callers connect and ask while the loop is late'
    ' and the entry ends'
)
def ask_late_entry(context, count):
    world = context.world
    requests = [world.request('fetch') for _ in range(count)]

    async def stop():
        drain = asyncio.ensure_future(world.entry.drain())
        await asyncio.sleep(LEAVE_SECONDS - 0.2)
        asked = [threads.submit(_ask, world.port, one) for one in requests]
        _hold_up(0.4)
        await drain
        return asked

    with ThreadPoolExecutor(count) as threads:
        asked = world.run(stop())
        # The process would be gone now.
        _hold_up(0.2)
        context.replies = [one.result() for one in asked if one.done()]
    context.count = count


@then('all of them get status {status:d} and when to come back')
def all_refused(context, status):
    assert len(context.replies) == context.count, context.replies
    for reply in context.replies:
        assert isinstance(reply, Reply), context.replies
        assert reply.status == status, reply.raw
        assert reply.retry_after is not None, reply.raw


@when('the entry is stopped in a stream, and its caller asks for another one')
def stop_in_stream(context):
    async def stop():
        world = context.world
        world.servers[0].acts.append('pause')
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(world.request('stream', closes=False))
        head = await reader.readuntil(b'\r\n\r\n')
        drain = asyncio.ensure_future(world.entry.drain())
        first = head + await reader.readuntil(b'\r\n0\r\n\r\n')
        writer.write(world.request('stream', closes=False))
        second = await asyncio.wait_for(reader.read(), 3)
        await drain
        writer.close()
        return first, second

    context.streams = context.world.run(stop())


@then(
    'the caller has both streams, and only the second one ends the connection'
)
def both_streams(context):
    first, second = (one.lower() for one in context.streams)
    assert b'connection: close' not in first, first
    assert second.startswith(b'http/1.1 200'), context.streams
    assert b'connection: close' in second, second
    assert second.endswith(b'\r\n0\r\n\r\n'), second


@then('the entry holds at most {most:d} connections')
def holds_at_most(context, most):
    assert context.world.entry.connections <= most


@then('the server is told within {seconds:g} seconds')
def told_in_time(context, seconds):
    assert context.took_seconds < seconds, context.took_seconds


@then('it gets {count:d} answers in order')
def answers_in_order(context, count):
    ids = re.findall(rb'Request-Id: r(\d+)', context.raw, re.IGNORECASE)
    assert [int(number) for number in ids] == list(range(1, count + 1))


@when('{count:d} callers that have fetched stay connected')
def stay_connected(context, count):
    world = context.world

    async def play():
        context.ends = []
        for _ in range(count):
            end = await asyncio.open_connection('127.0.0.1', world.port)
            await _fetch(world, end)
            context.ends.append(end)

    world.run(play())


async def _fetch(world, end):
    reader, writer = end
    writer.write(world.request('fetch', closes=False))
    return await _answer(reader)


async def _answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    length = int(head.split('content-length: ')[1].split()[0])
    return await reader.readexactly(length)


@when('the first of them fetches and leaves before the loop has its turn')
def fetch_and_leave(context):
    world = context.world

    async def play():
        # Straight into the kernel: the loop has had no turn to read it.
        sock = context.ends[0][1].get_extra_info('socket')
        os.write(sock.fileno(), world.request('fetch', closes=False))
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.3)

    world.run(play())


@when('the first of them fetches while the entry makes room')
def fetch_beside_room(context):
    world = context.world

    async def play():
        entry = world.entry
        entry.capacity.most_connections = 1
        writer = context.ends[0][1]
        # Straight into the kernel: the loop has had no turn to read it.
        sock = writer.get_extra_info('socket')
        os.write(sock.fileno(), world.request('fetch', closes=False))
        newest = next(
            one
            for one in entry._connections
            if not one.unread  # noqa: SLF001
        )
        for _ in range(2):
            entry._make_room(newest)  # noqa: SLF001
        context.first = await asyncio.wait_for(_answer(context.ends[0][0]), 1)
        context.second = await asyncio.wait_for(context.ends[1][0].read(), 1)

    world.run(play())


@then("the first has its answer, and the second's connection is closed")
def first_answered(context):
    assert context.first.startswith(b'done by'), context.first
    assert not context.second


@then('no connection holds a call')
def holds_no_call(context):
    connections = context.world.entry._connections  # noqa: SLF001
    assert len(connections) == 2
    for connection in connections:
        held = (connection._head, connection._call)  # noqa: SLF001
        assert held == (None, None), held
