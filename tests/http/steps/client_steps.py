"""Steps for the HTTP client's connections."""

from __future__ import annotations

from functools import partial

import anyio
from behave import given, then, when

from sardinetrack.http.asgi import Exchange, Receive, Scope, Send
from sardinetrack.http.client import HttpClient
from sardinetrack.http.connections import Connections
from sardinetrack.http.server import BoundServer, serving

_IP = '127.0.0.1'
_ANSWER_SECONDS = 0.05


class _Seen:
    """A server's memory of its connections."""

    def __init__(self) -> None:
        self.ports: set[int] = set()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.ports.add(scope['client'][1])
        await anyio.sleep(_ANSWER_SECONDS)
        await Exchange(scope, receive, send).answer_json(200, {})


async def _endless(scope: Scope, receive: Receive, send: Send) -> None:
    exchange = Exchange(scope, receive, send)
    await exchange.start(200, ())
    while True:
        await exchange.write(b'more')
        await anyio.sleep(_ANSWER_SECONDS)


async def _call_at_once(
    client: HttpClient,
    server: BoundServer,
    calls: int,
) -> None:
    async with anyio.create_task_group() as tasks:
        for _ in range(calls):
            tasks.start_soon(partial(client.call, 'GET', server.url))


async def _cancel_midway(
    client: HttpClient,
    server: BoundServer,
    scope: anyio.CancelScope,
) -> None:
    async with client.stream('GET', server.url) as reply:
        async for _ in reply.chunks():
            scope.cancel()


@given('a server that tells callers apart by their port')
def given_seen(context):
    context.application = _Seen()


@given('a server whose answers never end')
def given_endless(context):
    context.application = _endless


@when('a client makes {calls:d} calls one after the other')
def when_sequence(context, calls):
    async def run() -> None:
        async with (
            serving(context.application, _IP, 0) as server,
            HttpClient() as client,
        ):
            for _ in range(calls):
                await client.call('GET', server.url)

    anyio.run(run)


@when('a client makes {calls:d} calls at once')
def when_at_once(context, calls):
    async def run() -> None:
        async with (
            serving(context.application, _IP, 0) as server,
            HttpClient() as client,
        ):
            await _call_at_once(client, server, calls)

    anyio.run(run)


@when('a client makes a call, the server restarts, and it makes another')
def when_restarted(context):
    async def run() -> list[int]:
        async with HttpClient() as client:
            async with serving(context.application, _IP, 0) as server:
                first = await client.call('GET', server.url)
                port = server.port
            async with serving(context.application, _IP, port) as server:
                second = await client.call('GET', server.url)
        return [first.status, second.status]

    context.statuses = anyio.run(run)


@when('a client is cancelled in the middle of an answer')
def when_cancelled_midway(context):
    async def run() -> int:
        connections = Connections()
        async with (
            serving(context.application, _IP, 0) as server,
            HttpClient(connections=connections) as client,
        ):
            with anyio.CancelScope() as scope:
                await _cancel_midway(client, server, scope)
            return connections.kept

    context.kept = anyio.run(run)


@when('a client that keeps {kept:d} connections makes {calls:d} calls at once')
def when_bounded(context, kept, calls):
    async def run() -> int:
        connections = Connections(max_kept=kept)
        async with (
            serving(context.application, _IP, 0) as server,
            HttpClient(connections=connections) as client,
        ):
            await _call_at_once(client, server, calls)
            return connections.kept

    context.kept = anyio.run(run)


@then('the server has seen {count:d} connection')
@then('the server has seen {count:d} connections')
def then_seen(context, count):
    assert len(context.application.ports) == count, context.application.ports


@then('both calls are answered')
def then_answered(context):
    assert context.statuses == [200, 200], context.statuses


@then('the client keeps no connection')
def then_none_kept(context):
    assert context.kept == 0, context.kept


@then('the client keeps {count:d} connections')
def then_kept(context, count):
    assert context.kept == count, context.kept
