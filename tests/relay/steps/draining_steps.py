"""Steps for what an entry sends while it drains."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from types import MappingProxyType
from unittest import mock

from behave import given, then, when
from tests.support.held_requests import (
    REQUESTS,
    assert_nothing_held,
    until,
)
from tests.support.relay_servers import SharedActs
from tests.support.relay_world import RelayWorld, Reply, close_world
from tests.support.virtual_time import VirtualTimeLoop

from sardinetrack.relay import server_choice
from sardinetrack.relay.permit import PermitRefusedError, TrialRunsError

_GRACE_SECONDS = 8.0
_LONG_SECONDS = 20.0
"""More than the grace period: no deadline ends a request of these tests."""
_NO_RESPONSE = Reply(b''), math.inf
_ROUTES = MappingProxyType({'fetch': 'fetch', 'report': 'report'})
_ACTS = MappingProxyType(
    {
        'disconnects': 'reset',
        'turns it away': 'shed',
        'fails it': 'fail',
        'goes on': 'answer',
        'cuts it after some events': 'cut',
        'responds': 'answer',
    }
)


class _DrainingWorld(RelayWorld):
    """Its clock jumps to the next timer; it knows when the entry stopped."""

    def __init__(self):
        super().__init__()
        self.loop.close()
        self.loop = VirtualTimeLoop()
        self.stopped_seconds = 0

    @property
    def since_stop_seconds(self):
        return round(self.loop.time() - self.stopped_seconds, 3)

    def stop(self):
        self.stopped_seconds = self.loop.time()
        return asyncio.ensure_future(self.entry.drain())

    async def sleep_until(self, since_stop_seconds):
        await asyncio.sleep(since_stop_seconds - self.since_stop_seconds)

    def set_routes(self, **changes):
        state = self.entry_state
        held = state.configuration
        routes = {
            host: tuple(replace(one, **changes) for one in of_host)
            for host, of_host in held.routes.items()
        }
        state.configuration = replace(held, routes=routes)

    async def timed_call(self, route):
        """Call, and return the reply and when it came."""
        reply = await self.call(route, timeout_seconds=_LONG_SECONDS)
        return reply, self.since_stop_seconds


@given('a relay on virtual time in front of {count:d} server')
@given('a relay on virtual time in front of {count:d} servers')
def open_world(context, count):
    world = _DrainingWorld()
    context.add_cleanup(close_world, world)
    world.run(
        world.open(models=count, plain=count, grace_seconds=_GRACE_SECONDS)
    )
    world.set_routes(timeout_seconds=_LONG_SECONDS)
    context.world = world


def _patched(context, target, name, replacement):
    patch = mock.patch.object(target, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


def _delayed(call, until_seconds, loop):
    async def wait_and_call(*arguments, **more):
        await asyncio.sleep(max(0, until_seconds - loop.time()))
        return await call(*arguments, **more)

    return wait_and_call


def _delay_permits(context, until_seconds):
    acquire = server_choice.acquire_permit
    delayed = _delayed(acquire, until_seconds, context.world.loop)
    _patched(context, server_choice, 'acquire_permit', delayed)
    return 'once-stream'


def _run_trial(context, until_seconds):
    acquire = server_choice.acquire_permit

    async def refuse(*arguments):
        if context.world.loop.time() < until_seconds:
            raise TrialRunsError
        return await acquire(*arguments)

    _patched(context, server_choice, 'acquire_permit', refuse)
    return 'once-stream'


def _delay_connections(context, until_seconds):
    connections = context.world.entry_state.connections
    delayed = _delayed(connections.acquire, until_seconds, context.world.loop)
    _patched(context, connections, 'acquire', delayed)
    return 'report'


def _delay_origin(context, until_seconds):
    streams = context.world.entry_state.streams
    delayed = _delayed(streams.find, until_seconds, context.world.loop)
    _patched(context, streams, 'find', delayed)
    return 'stream'


_WAITS = MappingProxyType(
    {
        'for a permit': _delay_permits,
        'for a trial': _run_trial,
        'for a connection': _delay_connections,
        "for the stream's origin": _delay_origin,
    }
)


@when(
    'the entry is stopped, and {late:g} seconds later a caller sends a long'
    ' request that waits {seconds:g} second {wait}'
)
def stop_and_wait(context, late, seconds, wait):
    world = context.world
    world.set_routes(first_event_objective_seconds=_LONG_SECONDS)

    async def act():
        drain = world.stop()
        await world.sleep_until(late)
        route = _WAITS[wait](context, world.loop.time() + seconds)
        call = asyncio.ensure_future(world.timed_call(route))
        await drain
        # The process would end now.
        context.end = call.result() if call.done() else _NO_RESPONSE
        call.cancel()

    world.servers[0].acts.append('hang')
    world.servers[1].acts.append('hang')
    world.run(act())


@when(
    'the entry is stopped while some streams run and others wait,'
    ' and all slots become free {seconds:g} seconds later'
)
def stop_while_waiting(context, seconds):
    world = context.world
    world.set_routes(first_event_objective_seconds=_LONG_SECONDS)
    server = world.servers[0]
    server.acts.extend('held' for _ in range(REQUESTS))

    async def act():
        calls = [
            asyncio.ensure_future(world.timed_call('once-stream'))
            for _ in range(REQUESTS)
        ]
        await asyncio.sleep(0.5)
        context.ran = len(server.requests)
        assert 0 < context.ran < REQUESTS, context.ran
        drain = world.stop()
        await world.sleep_until(seconds)
        server.acts.clear()
        server.notices.released.set()
        context.ends = await asyncio.gather(*calls)
        await drain

    world.run(act())


@then(
    'those that ran get status 200, and the others status 503'
    ' from {first:g} to {last:g} seconds after the stop'
)
def some_run(context, first, last):
    statuses = [reply.status for reply, _ in context.ends]
    assert statuses.count(200) == context.ran, statuses
    assert statuses.count(503) == REQUESTS - context.ran, statuses
    for reply, told_seconds in context.ends:
        if reply.status == 503:
            assert reply.retry_after is not None, reply.raw
            assert first <= told_seconds <= last, told_seconds


@when(
    'the entry is stopped, and the last byte of a request comes'
    ' {seconds:g} seconds later'
)
def send_last_byte(context, seconds):
    world = context.world

    async def act():
        reader, writer = await asyncio.open_connection('127.0.0.1', world.port)
        raw = world.request('report', body=b'position')
        writer.write(raw[:-1])
        await asyncio.sleep(0.1)
        drain = world.stop()
        await world.sleep_until(seconds)
        writer.write(raw[-1:])
        context.end = Reply(await reader.read()), world.since_stop_seconds
        writer.close()
        await drain

    world.run(act())


async def _begin(world, route, act):
    """Request what a server holds until it is released for an act."""
    shared = SharedActs('held')
    for server in world.servers:
        server.acts = shared
        server.notices.held_act = act
    call = asyncio.ensure_future(world.timed_call(route))
    await until(lambda: any(one.requests for one in world.servers))
    return call


async def _end(call, drain):
    """Return the end of a call, once the entry has drained."""
    ended = await call
    await drain
    return ended


def _release(world):
    for server in world.servers:
        server.notices.released.set()


async def _stop_and_release(context, route, act, seconds):
    world = context.world
    call = await _begin(world, route, act)
    drain = world.stop()
    await world.sleep_until(seconds)
    _release(world)
    context.end = await call
    await drain


@when(
    'the entry is stopped while a {route} runs,'
    ' and {seconds:g} seconds later its server {act}'
)
def stop_while_running(context, route, seconds, act):
    context.world.run(
        _stop_and_release(context, _ROUTES[route], _ACTS[act], seconds)
    )


@when(
    'the entry is stopped while a fetch runs, {seconds:g} seconds later its'
    ' server disconnects, and the next connection takes {delay:g} second'
)
def stop_before_retry(context, seconds, delay):
    world = context.world

    async def act():
        call = await _begin(world, 'fetch', 'reset')
        drain = world.stop()
        await world.sleep_until(seconds)
        _delay_connections(context, world.loop.time() + delay)
        _release(world)
        context.end = await _end(call, drain)

    world.run(act())


@when(
    "the entry is stopped after a stream's relief was refused, {seconds:g}"
    ' seconds later its server disconnects, and the next permit takes'
    ' {delay:g} second'
)
def stop_after_relief(context, seconds, delay):
    world = context.world
    acquire = server_choice.acquire_permit
    refused = []

    async def refuse_or_wait(*arguments):
        if not world.stopped_seconds:
            refused.append(arguments)
            raise PermitRefusedError(1, 'no slot')
        await world.sleep_until(seconds + delay)
        return await acquire(*arguments)

    async def act():
        call = await _begin(world, 'stream', 'reset')
        _patched(context, server_choice, 'acquire_permit', refuse_or_wait)
        await asyncio.sleep(1)
        await until(lambda: refused)
        # Until the relief has ended.
        await asyncio.sleep(0.2)
        drain = world.stop()
        await world.sleep_until(seconds)
        _release(world)
        context.end = await _end(call, drain)

    world.run(act())


@when(
    'the entry is stopped while a fetch runs, {seconds:g} seconds later all'
    ' servers are listed with a later start, and its server responds at'
    ' {end:g} seconds'
)
def stop_before_restart(context, seconds, end):
    world = context.world
    world.list_servers(started=1000, revision=1)

    async def act():
        call = await _begin(world, 'fetch', 'answer')
        drain = world.stop()
        await world.sleep_until(seconds)
        world.list_servers(started=2000, revision=2)
        await world.sleep_until(end)
        _release(world)
        context.end = await _end(call, drain)

    world.run(act())
    assert world.entry_state.meters.restarts


@when(
    'the entry is stopped while a stream has not begun,'
    ' and its server goes on {seconds:g} seconds later'
)
def stop_while_silent(context, seconds):
    context.world.run(_stop_and_release(context, 'stream', 'answer', seconds))


@when(
    'the entry is stopped while a stream has not begun,'
    ' and {seconds:g} seconds later its server cuts it after some events'
)
def stop_before_cut(context, seconds):
    context.world.set_routes(first_event_objective_seconds=_LONG_SECONDS)
    context.world.run(_stop_and_release(context, 'stream', 'cut', seconds))


@when(
    'the entry is stopped {before:g} second after a stream was sent, its relief'
    ' waits for a permit from {first:g} to {last:g} seconds, and its server'
    ' goes on after {seconds:g} seconds'
)
def stop_before_relief(context, before, first, last, seconds):
    world = context.world

    async def act():
        call = await _begin(world, 'stream', 'answer')
        await asyncio.sleep(before)
        drain = world.stop()
        asked = []
        acquire = server_choice.acquire_permit

        async def wait_and_acquire(*arguments):
            asked.append(world.since_stop_seconds)
            await world.sleep_until(last)
            return await acquire(*arguments)

        _patched(context, server_choice, 'acquire_permit', wait_and_acquire)
        await world.sleep_until(seconds)
        assert asked, 'no relief was tried'
        assert first - 0.2 <= asked[0] <= first + 0.3, asked
        _release(world)
        context.end = await _end(call, drain)

    world.run(act())


@then(
    'the caller gets status {status:d} and when to retry,'
    ' {first:g} to {last:g} seconds after the stop'
)
def told_when_to_retry(context, status, first, last):
    told_in_time(context, status, first, last)
    assert context.reply.retry_after is not None, context.reply.raw


@then(
    'the caller gets status {status:d},'
    ' {first:g} to {last:g} seconds after the stop'
)
def told_in_time(context, status, first, last):
    context.reply = context.end[0]
    assert context.reply.status == status, (context.reply.raw, context.end[1])
    assert first <= context.end[1] <= last, context.end[1]


@then('the last line on the request says {kind}')
def last_line_says(context, kind):
    ends = [
        line
        for line in context.world.lines()
        if 'took_seconds' in line and 'reason' in line
    ]
    assert ends[-1]['reason'].startswith(f'{kind}:'), ends


@then('nothing of it is held')
def nothing_held(context):
    assert_nothing_held(context.world.entry_state)
