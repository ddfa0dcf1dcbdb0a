"""Steps for callers that read slowly."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from unittest import mock

from behave import then, when
from tests.support.relay_servers import LONG_EVENTS
from tests.support.relay_world import Reply

from sardinetrack.relay.caller_connection import CallerConnection

_READING_SECONDS = 0.5
"""An entry that is not paused reads a whole long stream in this."""


@when('a caller fetches a long response and does not read it')
def fetch_unread(context):
    world = context.world
    world.servers[0].acts.append('answer_at_length')

    async def play():
        pair = await asyncio.open_connection('127.0.0.1', world.port)
        context.slow = pair
        pair[1].write(world.request('fetch', closes=False))
        await pair[0].readuntil(b'\r\n\r\n')

    world.run(play())


@when('another caller fetches over the same connection')
def fetch_next(context):
    world = context.world
    began = world.loop.time()
    context.reply = world.run(world.call('fetch'))
    context.took_seconds = world.loop.time() - began
    assert world.entry_state.connections.opened == 1
    context.slow[1].transport.abort()


@when('the servers send long streams')
def send_long(context):
    for server in context.world.servers:
        server.acts.append('stream_at_length')


@when('the first server stops midway in a long stream')
def stop_midway(context):
    shared = deque(('stop_midway', 'stream_at_length'))
    for server in context.world.servers:
        server.acts = shared


@when('the entry looks for silent servers whenever a caller reads again')
def look_on_resume(context):
    entry = context.world.entry
    resume = CallerConnection.resume_writing

    def resume_and_look(connection):
        resume(connection)
        for exchange in entry._exchanges:  # noqa: SLF001
            exchange.check(entry.now())

    patch = mock.patch.object(
        CallerConnection, 'resume_writing', resume_and_look
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    'a caller requests a resumable stream,'
    ' and reads nothing for {seconds:g} seconds'
)
def request_unread(context, seconds):
    async def play():
        world = context.world
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.transport.pause_reading()
        writer.write(world.request('stream'))
        await asyncio.sleep(seconds)
        writer.transport.resume_reading()
        async with asyncio.timeout(8):
            raw = await reader.read()
        writer.close()
        return Reply(raw)

    context.reply = context.world.run(play())


@when('a caller requests a resumable stream, and its server restarts unread')
def request_over_restart(context):
    async def play():
        world = context.world
        context.slow = await asyncio.open_connection('127.0.0.1', world.port)
        context.slow[1].transport.pause_reading()
        context.slow[1].write(world.request('stream'))
        await _asked(world)
        await asyncio.sleep(_READING_SECONDS)
        assert _caller(world).flow.paused
        world.list_servers(started=400, revision=30)
        await _asked(world)
        await asyncio.sleep(_READING_SECONDS)

    context.world.run(play())


async def _asked(world):
    """Wait for the next request at any server."""
    for server in world.servers:
        server.asked.clear()
    waits = [asyncio.ensure_future(one.asked.wait()) for one in world.servers]
    await asyncio.wait(waits, timeout=5, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


@when('a caller pipelines a long fetch and a long stream, and reads nothing')
def pipeline_unread(context):
    async def play():
        world = context.world
        model, plain = world.servers
        model.acts.append('stream_at_length')
        plain.acts.append('answer_at_length')
        context.slow = await asyncio.open_connection('127.0.0.1', world.port)
        context.slow[1].transport.pause_reading()
        for name in ('fetch', 'once-stream'):
            context.slow[1].write(world.request(name, closes=False))
        await asyncio.wait_for(plain.asked.wait(), 5)
        await asyncio.sleep(_READING_SECONDS)

    context.world.run(play())


@then('the model server is not asked for the stream')
def stream_not_asked(context):
    assert not context.world.servers[0].asked.is_set()


@when('the caller has read the first response, and reads no more')
def read_first_response(context):
    async def play():
        reader, writer = context.slow
        writer.transport.resume_reading()
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(re.search(rb'content-length: (\d+)', head)[1])
        await reader.readexactly(length)
        writer.transport.pause_reading()
        await asyncio.sleep(_READING_SECONDS)

    context.world.run(play())


@then('the model server is asked for the stream')
def stream_asked(context):
    assert context.world.servers[0].asked.is_set()


def _caller(world):
    return next(iter(world.entry._connections))  # noqa: SLF001


@then('the entry holds less than {megabytes:d} MB for the caller')
def holds_less(context, megabytes):
    transport = _caller(context.world)._transport  # noqa: SLF001
    held = transport.get_write_buffer_size()
    assert held < megabytes * 1_000_000, held


@then(
    'the caller then receives every event of the long stream once, and the end'
)
def reads_on(context):
    async def play():
        reader, writer = context.slow
        writer.transport.resume_reading()
        async with asyncio.timeout(8):
            raw = await reader.read()
        writer.close()
        return Reply(raw)

    context.reply = context.world.run(play())
    receives_long(context)


@then('it receives every event of the long stream once, and the end')
def receives_long(context):
    numbers = re.findall(rb'data: token (\d+)\n\n', context.reply.body)
    expected = list(range(1, LONG_EVENTS + 1))
    assert [int(number) for number in numbers] == expected, numbers
    assert context.reply.complete
