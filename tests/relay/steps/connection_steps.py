"""Steps for callers' connections and the end of an entry."""

from __future__ import annotations

import asyncio
import re

from behave import then, when
from tests.support.relay_world import Reply


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
