"""Steps for requests that end by an unexpected error."""

from __future__ import annotations

import asyncio
import json
import os
import resource
from contextlib import contextmanager
from types import MappingProxyType
from unittest import mock

from behave import given, then, when
from tests.support.relay_world import Reply

from sardinetrack.relay import sender

_FAULT = RuntimeError('unexpected')
_COUNTS = MappingProxyType(
    {
        '400 digits and 1': (f'{"9" * 400},1',),
        '1 and 400 digits': (f'1,{"9" * 400}',),
        '1 and -5, of which -1 are estimated': ('1,-5', -1),
        '-5 and 1': ('-5,1',),
        '1 and 250 digits, of which 1 estimated': (f'1,{"9" * 250}', 1),
    }
)


def _raise_in(context, owner, name):
    patch = mock.patch.object(owner, name, side_effect=_FAULT)
    patch.start()
    context.add_cleanup(patch.stop)


def _raise_after_attempt(context):
    _raise_in(context, sender.OutcomeRecorder, 'record')


def _send(context, name, headers=()):
    context.reply = context.world.run(context.world.call(name, headers))


@when('an unexpected error occurs within the head of the next report')
def fail_within_head(context):
    _raise_in(context, context.world.entry, 'hold_body')
    _send(context, 'report')


@when('an unexpected error occurs before the send of the next report')
def fail_before_send(context):
    _raise_in(context, sender, 'ServerNotices')
    _send(context, 'report')


@when('an unexpected error occurs after the failed answer of the next report')
def fail_after_send(context):
    _raise_after_attempt(context)
    context.world.servers[0].acts.append('reset')
    _send(context, 'report')


@when('an unexpected error occurs after the server has interrupted a stream')
def fail_in_stream(context):
    _raise_after_attempt(context)
    context.world.servers[0].acts.append('cut')
    _send(context, 'stream')


@when('an unexpected error occurs after the delivery to the next caller')
def fail_after_delivery(context):
    _raise_after_attempt(context)
    world = context.world

    async def fetch_twice():
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(world.request('fetch', closes=False))
        first = await reader.readuntil(b'done by')
        writer.write(world.request('fetch'))
        second = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return first + second

    context.raw = world.run(fetch_twice())


@when('a stream is requested whose prompt counts {counts}')
def send_counts(context, counts):
    tokens, *hint = _COUNTS[counts]
    headers = [f'X-Sardinetrack-Token-Count: {tokens}']
    headers += [f'X-Sardinetrack-Length-Hint: {one}' for one in hint]
    world = context.world
    request = world.request('once-stream', headers).replace(
        b'X-Sardinetrack-Token-Count: 100,20\r\n', b''
    )

    async def send():
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        writer.write(request)
        raw = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return Reply(raw)

    context.reply = world.run(send())


@then('the caller gets status {status:d}, which says {promise}')
def gets_promise(context, status, promise):
    assert context.reply.status == status, context.reply.raw
    not_run = json.loads(context.reply.body)['error']['not_run']
    assert not_run == (promise == 'not run'), context.reply.raw


@then('that caller gets the response, and one to its next request')
def gets_both(context):
    assert context.raw.count(b'HTTP/1.1 200 OK') == 2, context.raw
    assert context.raw.count(b'HTTP/1.1') == 2, context.raw


@then('the caller got one status line')
def one_status_line(context):
    assert context.reply.raw.count(b'HTTP/1.1') == 1, context.reply.raw


@then('the error is logged as a fault')
def is_logged(context):
    causes = [
        line['cause']
        for line in context.world.lines()
        if line['event'] == 'fault'
    ]
    assert causes == [repr(_FAULT)], causes


@given('a caller that has fetched stays connected')
def fetch_and_stay(context):
    world = context.world

    async def fetch():
        context.caller = await asyncio.open_connection('127.0.0.1', world.port)
        context.caller[1].write(world.request('fetch', closes=False))
        await context.caller[0].readuntil(b'done by')

    world.run(fetch())


@contextmanager
def _no_free_descriptor():
    """Lower the limit to the descriptors in use."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@when('the caller pipelines 2 more fetches, and no descriptor is free')
def pipeline_without_descriptors(context):
    world = context.world
    reader, writer = context.caller
    check = world.entry_state.check_available

    def check_after_next_arrives(*positional, **named):
        # Straight into the kernel: the event loop has no chance to read it.
        world.entry_state.check_available = check
        sock = writer.get_extra_info('socket')
        os.write(sock.fileno(), world.request('fetch'))
        check(*positional, **named)

    world.entry_state.check_available = check_after_next_arrives

    async def fetch():
        writer.write(world.request('fetch', closes=False))
        with _no_free_descriptor():
            context.raw = await asyncio.wait_for(reader.read(), 2)
        writer.close()

    world.run(fetch())


@then('it gets 2 responses with status 200')
def two_responses(context):
    assert context.raw.count(b'HTTP/1.1 200 OK') == 2, context.raw
