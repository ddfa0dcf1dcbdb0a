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
            exchange.abandon_if_silent(entry.now())

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


@then('it receives every event of the long stream once, and the end')
def receives_long(context):
    numbers = re.findall(rb'data: token (\d+)\n\n', context.reply.body)
    expected = list(range(1, LONG_EVENTS + 1))
    assert [int(number) for number in numbers] == expected, numbers
    assert context.reply.complete
