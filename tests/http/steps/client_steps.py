"""Steps for the HTTP client's connections."""

from __future__ import annotations

from functools import partial

import anyio
from behave import given, then, when

from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.http.client import HttpClient
from sardinetrack.http.connections import ClientConnectionPool
from sardinetrack.http.server import BoundServer, serve

_IP = '127.0.0.1'
_DELAY_SECONDS = 0.05


class _ConnectionCounter:
    """A server that records the client ports of its connections."""

    def __init__(self) -> None:
        self.ports: set[int] = set()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.ports.add(scope['client'][1])
        await anyio.sleep(_DELAY_SECONDS)
        await HttpExchange(scope, receive, send).respond_json(200, {})


async def _endless(scope: Scope, receive: Receive, send: Send) -> None:
    exchange = HttpExchange(scope, receive, send)
    await exchange.start(200, ())
    while True:
        await exchange.write(b'more')
        await anyio.sleep(_DELAY_SECONDS)


async def _call_concurrently(
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
    async with client.stream('GET', server.url) as response:
        async for _ in response.chunks():
            scope.cancel()


@given('a server that counts its connections')
def given_counter(context):
    context.application = _ConnectionCounter()


@given('a server whose responses never end')
def given_endless(context):
    context.application = _endless


@when('a client makes {calls:d} consecutive calls')
def when_sequence(context, calls):
    async def run() -> None:
        async with (
            serve(context.application, _IP, 0) as server,
            HttpClient() as client,
        ):
            for _ in range(calls):
                await client.call('GET', server.url)

    anyio.run(run)


@when('a client makes {calls:d} concurrent calls')
def when_concurrent(context, calls):
    async def run() -> None:
        async with (
            serve(context.application, _IP, 0) as server,
            HttpClient() as client,
        ):
            await _call_concurrently(client, server, calls)

    anyio.run(run)


@when('a client makes a call, the server restarts, and it makes another')
def when_restarted(context):
    async def run() -> list[int]:
        async with HttpClient() as client:
            async with serve(context.application, _IP, 0) as server:
                first = await client.call('GET', server.url)
                port = server.port
            async with serve(context.application, _IP, port) as server:
                second = await client.call('GET', server.url)
        return [first.status, second.status]

    context.statuses = anyio.run(run)


@when('a client is cancelled in the middle of a response')
def when_cancelled_midway(context):
    async def run() -> int:
        connections = ClientConnectionPool()
        async with (
            serve(context.application, _IP, 0) as server,
            HttpClient(connections=connections) as client,
        ):
            with anyio.CancelScope() as scope:
                await _cancel_midway(client, server, scope)
            return connections.idle_count

    context.idle_count = anyio.run(run)


@when('a client is cancelled before its response arrives')
def when_cancelled_early(context):
    async def run() -> int:
        connections = ClientConnectionPool()
        async with (
            serve(context.application, _IP, 0) as server,
            HttpClient(connections=connections) as client,
        ):
            with anyio.move_on_after(_DELAY_SECONDS / 2) as scope:
                await client.call('GET', server.url)
            assert scope.cancelled_caught
            return connections.idle_count

    context.idle_count = anyio.run(run)


@when(
    'a client with at most {idle:d} idle connections'
    ' makes {calls:d} concurrent calls'
)
def when_bounded(context, idle, calls):
    async def run() -> int:
        connections = ClientConnectionPool(max_idle=idle)
        async with (
            serve(context.application, _IP, 0) as server,
            HttpClient(connections=connections) as client,
        ):
            await _call_concurrently(client, server, calls)
            return connections.idle_count

    context.idle_count = anyio.run(run)


@then('the server has seen {count:d} connection')
@then('the server has seen {count:d} connections')
def then_seen(context, count):
    assert len(context.application.ports) == count, context.application.ports


@then('both calls succeed')
def then_succeeded(context):
    assert context.statuses == [200, 200], context.statuses


@then('the client has no idle connections')
def then_none_idle(context):
    assert context.idle_count == 0, context.idle_count


@then('the client has {count:d} idle connections')
def then_idle(context, count):
    assert context.idle_count == count, context.idle_count
