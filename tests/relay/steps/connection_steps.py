"""Steps for callers' connections and the draining of an entry."""

from __future__ import annotations

import asyncio
import os
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from tests.support.held_requests import until
from tests.support.relay_world import RelayWorld, Reply, close_world

from sardinetrack.relay.capacity import BASE_BYTES, REQUEST_BYTES
from sardinetrack.relay.entry import DRAIN_ACCEPT_SECONDS


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


@when('the connections to the servers have been idle for {seconds:g} seconds')
def age_idle(context, seconds):
    for idle in context.world.entry_state.connections._idle.values():
        for connection in idle:
            connection.idle_since_seconds -= seconds


@when('a caller disconnects after it has requested a stream')
def disconnect(context):
    async def request_and_disconnect():
        world = context.world
        _, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(world.request('stream'))
        await world.servers[0].asked.wait()
        writer.close()
        began = world.loop.time()
        await asyncio.wait_for(world.servers[0].gone.wait(), 2)
        return world.loop.time() - began

    context.took_seconds = context.world.run(request_and_disconnect())


@given(
    'a relay in front of {plain:d} plain server'
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


@when(
    '{count:d} callers send reports concurrently,'
    ' and the first {gone:d} disconnect',
)
def send_and_disconnect(context, count, gone):
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


@when('the event loop was {seconds:d} second late')
def be_late(context, seconds):
    context.world.entry.capacity.update_lateness(seconds)


@when('the event loop was on time for a while')
def be_on_time(context):
    for _ in range(10):
        context.world.entry.capacity.update_lateness(0)


@then('{count:d} of them get status {status:d} and when to retry')
def some_refused(context, count, status):
    told = [one for one in context.replies if one.status == status]
    assert len(told) == count, context.replies
    assert all(one.retry_after is not None for one in told)


@then('the entry reports that it is not ready')
def not_ready(context):
    assert not context.world.entry.ready


@when('a caller smuggles a request behind two lengths')
def smuggle(context):
    async def send_smuggled():
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

    context.reply = context.world.run(send_smuggled())


@when('a caller pipelines {count:d} requests on one connection')
def pipeline(context, count):
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


async def _stop_behind_held(world, count):
    server = world.servers[0]
    server.acts.append('held')
    reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
    writer.write(
        b''.join(world.request('fetch', closes=False) for _ in range(count))
    )
    await server.asked.wait()
    drain = asyncio.ensure_future(world.entry.drain())
    await asyncio.sleep(0.05)
    server.notices.released.set()
    raw = await asyncio.wait_for(reader.read(), 4)
    writer.close()
    await drain
    return raw


@when(
    'the entry is stopped while the first of {count:d} pipelined requests runs'
)
def stop_while_pipelined(context, count):
    world = context.world
    context.raw = world.run(_stop_behind_held(world, count))


@then('only the last of them closes the connection')
def only_last_closes(context):
    heads = context.raw.lower().split(b'http/1.1 ')[1:]
    closes = [b'connection: close' in head for head in heads]
    assert closes == [*(False for _ in heads[1:]), True], context.raw


@when('the entry is stopped while a caller reads a stream')
def stop_entry(context):
    async def stop():
        world = context.world
        call = asyncio.ensure_future(world.call('stream'))
        await world.servers[0].asked.wait()
        await world.entry.drain()
        return await call

    context.reply = context.world.run(stop())


@when(
    'the entry is stopped and {seconds:g} seconds later'
    ' a caller sends a request',
)
def stop_and_send(context, seconds):
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


@when(
    'the entry is stopped while a caller has {seconds:g} seconds'
    ' to read a long response'
)
def stop_unread(context, seconds):
    world = context.world
    world.servers[0].acts.append('answer_at_length')

    async def stop():
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.transport.pause_reading()
        writer.write(world.request('fetch'))
        await until(lambda: _unsent(world))
        world.loop.call_later(seconds, writer.transport.resume_reading)
        reading = asyncio.ensure_future(reader.read())
        began = world.loop.time()
        await world.entry.drain()
        context.took_seconds = world.loop.time() - began
        context.unsent = _unsent(world)
        reading.cancel()
        writer.transport.abort()

    world.run(stop())


def _unsent(world):
    return [
        one
        for one in world.entry._connections  # noqa: SLF001
        if one._transport.get_write_buffer_size()  # noqa: SLF001
    ]


@then('nothing of the response is left in the entry when it has stopped')
def all_sent(context):
    assert not context.unsent


@then('it has stopped within {seconds:g} seconds')
def stopped_in_time(context, seconds):
    assert context.took_seconds < seconds, context.took_seconds


def _send_request(port, request):
    with socket.create_connection(('127.0.0.1', port), timeout=5) as link:
        try:
            link.sendall(request)
            return Reply(b''.join(iter(lambda: link.recv(4096), b'')))
        except ConnectionError as error:
            return error


def _block(seconds):
    time.sleep(seconds)


@when(
    '{count:d} callers connect and send requests while the loop is late'
    ' and the entry stops'
)
def send_to_late_entry(context, count):
    world = context.world
    requests = [world.request('fetch') for _ in range(count)]

    async def stop():
        drain = asyncio.ensure_future(world.entry.drain())
        await asyncio.sleep(DRAIN_ACCEPT_SECONDS - 0.2)
        asked = [
            threads.submit(_send_request, world.port, one) for one in requests
        ]
        _block(0.4)
        await drain
        return asked

    with ThreadPoolExecutor(count) as threads:
        asked = world.run(stop())
        # The process would have ended by now.
        _block(0.2)
        context.replies = [one.result() for one in asked if one.done()]
    context.count = count


@then('all of them get status {status:d} and when to retry')
def all_refused(context, status):
    assert len(context.replies) == context.count, context.replies
    for reply in context.replies:
        assert isinstance(reply, Reply), context.replies
        assert reply.status == status, reply.raw
        assert reply.retry_after is not None, reply.raw


@when('the entry is stopped in a stream, and its caller requests another one')
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
    'the caller receives both streams,'
    ' and only the second closes the connection',
)
def both_streams(context):
    first, second = (one.lower() for one in context.streams)
    assert b'connection: close' not in first, first
    assert second.startswith(b'http/1.1 200'), context.streams
    assert b'connection: close' in second, second
    assert second.endswith(b'\r\n0\r\n\r\n'), second


@then('the entry has at most {maximum:d} connections')
def has_at_most(context, maximum):
    assert context.world.entry.connections <= maximum


@then('the server detects that within {seconds:g} seconds')
def detected_in_time(context, seconds):
    assert context.took_seconds < seconds, context.took_seconds


@then('it gets {count:d} responses in order')
def responses_in_order(context, count):
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
    return await _read_body(reader)


async def _read_body(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    length = int(head.split('content-length: ')[1].split()[0])
    return await reader.readexactly(length)


@when('the first of them fetches and disconnects before the event loop runs')
def fetch_and_disconnect(context):
    world = context.world

    async def play():
        # Straight into the kernel: the event loop has no chance to read it yet.
        sock = context.ends[0][1].get_extra_info('socket')
        os.write(sock.fileno(), world.request('fetch', closes=False))
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.3)

    world.run(play())


@when('the first of them fetches while the entry closes idle connections')
def fetch_beside_eviction(context):
    world = context.world

    async def play():
        entry = world.entry
        entry.capacity.max_connections = 1
        writer = context.ends[0][1]
        # Straight into the kernel: the event loop has no chance to read it yet.
        sock = writer.get_extra_info('socket')
        os.write(sock.fileno(), world.request('fetch', closes=False))
        newest = next(
            one
            for one in entry._connections
            if not one.unread_input  # noqa: SLF001
        )
        for _ in range(2):
            entry._evict_idle(newest)  # noqa: SLF001
        context.first = await asyncio.wait_for(
            _read_body(context.ends[0][0]), 1
        )
        context.second = await asyncio.wait_for(context.ends[1][0].read(), 1)

    world.run(play())


@then("the first gets its response, and the second's connection is closed")
def first_served(context):
    assert context.first.startswith(b'done by'), context.first
    assert not context.second


@then('no connection keeps a request')
def keeps_no_request(context):
    connections = context.world.entry._connections  # noqa: SLF001
    assert len(connections) == 2
    for connection in connections:
        held = (connection._reader._head, connection._call)  # noqa: SLF001
        assert held == (None, None), held
