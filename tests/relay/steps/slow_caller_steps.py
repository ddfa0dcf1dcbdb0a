"""Steps for callers that read slowly."""

from __future__ import annotations

import asyncio

from behave import when


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
