"""Steps for callers that wait for "100 Continue"."""

from __future__ import annotations

import asyncio

from behave import then, when
from tests.support.relay_world import Reply, request_ids

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@when('a caller that reads a stream sends the head of a report')
def send_head_in_stream(context):
    context.world.run(_send_head_in_stream(context, ()))


@when('a caller that reads a stream sends a fetch and the head of a report')
def send_fetch_and_head(context):
    context.world.run(_send_head_in_stream(context, ('fetch',)))


async def _send_head_in_stream(context, between):
    world = context.world
    world.servers[0].acts.append('pause')
    reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
    writer.write(world.request('once-stream', closes=False))
    await reader.readuntil(b'token 1')
    for name in between:
        writer.write(world.request(name, closes=False))
    await _send_after_continue(context, reader, writer)


@then('the response to the fetch is complete before it is told to continue')
def fetch_before_continue(context):
    _, end, after = context.before.partition(b'\r\n0\r\n\r\n')
    assert end, context.before
    assert request_ids(after) == [b'r2'], after
    body = b'done by %d' % context.world.servers[-1].port
    assert after.endswith(b'\r\n\r\n%b%b' % (body, _CONTINUE)), after


@when('a caller sends the head of a report')
def send_head_only(context):
    async def play():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', context.world.port
        )
        await _send_after_continue(context, reader, writer)

    context.world.run(play())


async def _send_after_continue(context, reader, writer):
    body = b'position'
    request = context.world.request('report', ('Expect: 100-continue',), body)
    writer.write(request.removesuffix(body))
    async with asyncio.timeout(5):
        context.before = await reader.readuntil(_CONTINUE)
        writer.write(body)
        context.reply = Reply(await reader.read())
    writer.close()


@then('the stream is complete, and "100 Continue" follows it')
def continue_follows(context):
    end = b'\r\n0\r\n\r\n%b' % _CONTINUE
    assert context.before.endswith(end), context.before


@then('the report gets status {status:d}')
def report_gets(context, status):
    assert context.reply.status == status, context.reply.raw


@then('it is told to continue, and the report gets status {status:d}')
def continues_immediately(context, status):
    assert context.before == _CONTINUE, context.before
    report_gets(context, status)
