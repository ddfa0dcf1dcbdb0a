"""Steps for what the caller of one request receives, byte by byte."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from dataclasses import replace

from behave import given, then, when
from tests.support.relay_servers import EVENTS
from tests.support.relay_world import Reply, configuration, request_ids

_EVENTS = tuple(
    b'id: %d\ndata: token %d\n\n' % (number, number)
    for number in range(1, EVENTS // 2 + 1)
)
_INTERRUPTED = b''.join(b'%x\r\n%b\r\n' % (len(one), one) for one in _EVENTS)


@given('the routes allow {count:d} servers')
def allow_servers(context, count):
    state = context.world.entry_state
    held = state.configuration
    routes = {
        host: tuple(replace(route, max_servers=count) for route in routes)
        for host, routes in held.routes.items()
    }
    state.configuration = replace(held, routes=routes)


@when('a stream is interrupted, and then gets {act:w}')
def interrupt_and_act(context, act):
    shared = deque(('cut', act))
    for server in context.world.servers:
        server.acts = shared


@when('a stream is reset before its first event, and then gets {act:w}')
def reset_and_act(context, act):
    shared = deque(('reset', act))
    for server in context.world.servers:
        server.acts = shared


@then("the caller's response is truncated, and nothing follows its events")
def nothing_follows(context):
    assert context.reply.status == 200
    assert context.reply.body == _INTERRUPTED, context.reply.body


@then('the log reports {count:d} truncated response, because of "{cause}"')
@then('the log reports {count:d} truncated responses, because of "{cause}"')
def reports_truncated(context, count, cause):
    lines = [
        line
        for line in context.world.lines()
        if line['event'] == 'response_truncated'
    ]
    assert len(lines) == count, lines
    assert all(line['cause'] == cause for line in lines), lines
    meters = context.world.entry_state.meters
    assert meters.truncated.total() == count, meters.truncated


@given('a time-out of {seconds:g} seconds')
def set_timeout(context, seconds):
    context.world.entry_state.configuration = configuration(2, seconds)


@when('the server responds and the event loop is late for the time-out')
def respond_late(context):
    context.world.servers[0].acts.append('answer_and_block')


@when("the connection of the next request can't be released")
def fail_release(context):
    connections = context.world.entry_state.connections
    release = connections.release

    def fail_once(*_arguments):
        connections.release = release
        raise RuntimeError('not released')

    connections.release = fail_once


@when('a caller sends {count:d} {name} requests on one connection')
def send_on_one(context, count, name):
    async def send():
        world = context.world
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        context.replies = []
        for _ in range(count):
            writer.write(world.request(name, closes=False))
            context.replies.append(await _read_reply(reader))
        writer.close()

    context.world.run(send())


async def _read_reply(reader):
    """Read one response as a caller does, by its length or its last chunk."""
    try:
        async with asyncio.timeout(2):
            head = await reader.readuntil(b'\r\n\r\n')
            length = re.search(rb'content-length: (\d+)', head)
            if length is None:
                return Reply(head + await reader.readuntil(b'0\r\n\r\n'))
            return Reply(head + await reader.readexactly(int(length[1])))
    except asyncio.IncompleteReadError as error:
        return Reply(error.partial)
    except ConnectionError:
        return Reply(b'')


@then('it gets a complete response with status {status:d} to each')
def gets_each(context, status):
    got = [(reply.status, request_ids(reply.raw)) for reply in context.replies]
    expected = [
        (status, [b'r%d' % number])
        for number in range(1, len(context.replies) + 1)
    ]
    assert got == expected, [reply.raw for reply in context.replies]


@then('the log reports {count:d} requests served')
def reports_served(context, count):
    lines = context.world.lines()
    reasons = [
        line['reason'] for line in lines if line['event'] == 'request_ended'
    ]
    assert len(reasons) == count, lines
    assert not any(reasons), reasons
    meters = context.world.entry_state.meters
    assert meters.outcomes == {'served': count}, meters.outcomes


@when('the server sends more than its caller reads in {seconds:g} seconds')
def stop_reading(context, seconds):
    async def play():
        world = context.world
        world.servers[0].acts.append('flood')
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.transport.pause_reading()
        writer.write(world.request('once-stream', closes=False))
        await asyncio.sleep(seconds)
        writer.transport.resume_reading()
        async with asyncio.timeout(5):
            raw = await reader.read()
        writer.close()
        return Reply(raw)

    context.reply = context.world.run(play())


@then('it has one status line')
def has_one_status_line(context):
    assert context.reply.raw.count(b'HTTP/1.1 ') == 1


@when('a caller sends a HEAD request, and then fetches on the same connection')
def send_head_and_fetch(context):
    async def play():
        world = context.world
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        request = world.request('fetch', closes=False)
        writer.write(request.replace(b'GET', b'HEAD', 1))
        async with asyncio.timeout(2):
            head = await reader.readuntil(b'\r\n\r\n')
            writer.write(world.request('fetch'))
            rest = await reader.read()
        writer.close()
        context.heads = [head, rest]

    context.world.run(play())


@then('each of the {count:d} responses is read with status {status:d}')
def each_is_read(context, count, status):
    assert len(context.heads) == count
    for head in context.heads:
        assert head.startswith(b'HTTP/1.1 %d ' % status), head


@when('a caller sends a HEAD request for a stream')
def send_head_for_stream(context):
    async def play():
        world = context.world
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        request = world.request('once-stream')
        writer.write(request.replace(b'POST', b'HEAD', 1))
        async with asyncio.timeout(2):
            raw = await reader.read()
        writer.close()
        return Reply(raw)

    context.reply = context.world.run(play())


@when('a caller sends a HEAD request with two hosts')
def send_head_with_hosts(context):
    async def play():
        world = context.world
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        request = world.request('fetch', ('Host: other.example',))
        writer.write(request.replace(b'GET', b'HEAD', 1))
        async with asyncio.timeout(2):
            raw = await reader.read()
        writer.close()
        return Reply(raw)

    context.reply = context.world.run(play())


@then('it has no body')
def has_no_body(context):
    assert not context.reply.body, context.reply.raw


@when('a caller that reads a stream pipelines {count:d} fetches')
def pipeline_in_stream(context, count):
    async def play():
        world = context.world
        for server in world.servers:
            server.acts.append('pause')
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(world.request('once-stream', closes=False))
        context.before = await reader.readuntil(b'token 1')
        for _ in range(count):
            writer.write(world.request('fetch', closes=False))
        async with asyncio.timeout(5):
            context.raw = await reader.read()
        writer.close()

    context.world.run(play())


@then('the stream is complete, and one response that closes follows it')
def one_closes(context):
    _, end, after = context.raw.partition(b'\r\n0\r\n\r\n')
    assert end, context.raw
    assert after.startswith(b'HTTP/1.1 200 '), after
    assert after.count(b'connection: close') == 1, after
    assert request_ids(after) == [b'r2'], after


@when('a caller sends a {name} request for a protocol upgrade')
def request_upgrade(context, name):
    async def play():
        world = context.world
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        headers = ('Connection: Upgrade', 'Upgrade: h2c')
        body = b'' if name == 'fetch' else b'position'
        writer.write(world.request(name, headers, body, closes=False))
        async with asyncio.timeout(2):
            context.raw = await reader.read()
        writer.close()

    context.world.run(play())


@then('it gets one response with status {status:d}, which announces the close')
def one_response_closes(context, status):
    raw = context.raw
    assert raw.startswith(b'HTTP/1.1 %d ' % status), raw
    assert raw.count(b'HTTP/1.1 ') == 1, raw
    assert raw.count(b'connection: close') == 1, raw


@when('the server sends an interim response before its next one')
def send_interim(context):
    context.world.servers[0].acts.append('hint_and_answer')


@when('the server switches to another protocol at its next request')
def switch_protocol(context):
    context.world.servers[0].acts.append('switch_protocol')


@then('the request ended because of "{reason}"')
def ended_because(context, reason):
    reasons = [
        line['reason']
        for line in context.world.lines()
        if line['event'] == 'request_ended'
    ]
    assert reasons == [reason], reasons
