"""Steps for the HTTP server and client."""

from __future__ import annotations

import asyncio
import socket

import anyio
from behave import given, then, when

from sardinetrack.http.asgi import Exchange, Receive, Scope, Send
from sardinetrack.http.client import BrokenError, HttpClient, NotSentError
from sardinetrack.http.server import bind, serving

_IP = '127.0.0.1'


async def _answer(scope: Scope, receive: Receive, send: Send) -> None:
    await Exchange(scope, receive, send).answer_json(200, {})


async def _fail_midway(scope: Scope, receive: Receive, send: Send) -> None:
    exchange = Exchange(scope, receive, send)
    await exchange.start(200, ())
    await exchange.write(b'part')
    raise RuntimeError('fails midway')


@given('a server inside a cancel scope')
def given_scope(context):
    context.application = _answer


@when('the scope is cancelled')
def when_cancelled(context):
    async def run() -> str:
        with anyio.CancelScope() as scope:
            async with serving(context.application, _IP, 0) as server:
                url = server.url
                scope.cancel()
                await anyio.sleep_forever()
        return url

    context.url = anyio.run(run)


@then('a call to the server is refused')
def then_refused(context):
    async def run() -> None:
        async with HttpClient() as client:
            await client.call('GET', context.url)

    try:
        anyio.run(run)
    except NotSentError:
        return
    raise AssertionError('the server still answers')


@given('a server whose handler fails after part of the body')
def given_failing(context):
    context.application = _fail_midway


@when('a client reads the answer')
def when_read(context):
    async def run() -> bool:
        async with (
            serving(context.application, _IP, 0) as server,
            HttpClient() as client,
        ):
            try:
                await client.call('GET', server.url)
            except BrokenError:
                return True
        return False

    context.broken = anyio.run(run)


@then('the client reports a broken exchange')
def then_broken(context):
    assert context.broken


@given('a listening socket of the server')
def given_listener(context):
    context.listener = bind(_IP, 0)


@when('a client connects to it')
def when_connected(context):
    async def run() -> int:
        accepted = asyncio.Queue()
        server = await asyncio.start_server(
            lambda _, writer: accepted.put_nowait(writer),
            sock=context.listener,
        )
        async with (
            server,
            await anyio.connect_tcp(
                *context.listener.getsockname(),
            ),
        ):
            writer = await accepted.get()
            connection = writer.get_extra_info('socket')
            option = connection.getsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_NODELAY,
            )
            writer.close()
        return option

    context.no_delay = asyncio.run(run())


@then('the accepted connection sends without delay')
def then_no_delay(context):
    assert context.no_delay == 1


@given('a server that answers every call')
def given_answering(context):
    context.application = _answer


async def _stop_under(application, call):
    """Stop a server to which a caller has just connected."""
    loop = asyncio.get_running_loop()
    async with serving(application, _IP, 0) as server:
        reader, writer = await asyncio.open_connection(_IP, server.port)
        await anyio.sleep(0.05)
        server.stop()
        stopped_seconds = loop.time()
        await anyio.sleep(0.15)
        writer.write(call)
        with anyio.fail_after(5):
            answer = await reader.read()
            await server.closed()
        writer.close()
        return answer, loop.time() - stopped_seconds


@when('a caller connects, the server stops, and the caller sends a call')
def when_stopped_under(context):
    call = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
    context.told = anyio.run(_stop_under, context.application, call)


@when('a caller connects, and the server stops')
def when_stopped(context):
    context.told = anyio.run(_stop_under, context.application, b'')


@then('the caller is answered and the connection is closed')
def then_answered(context):
    assert context.told[0].startswith(b'HTTP/1.1 200'), context.told


@then('the server has ended within {seconds:g} seconds')
def then_ended(context, seconds):
    assert context.told[1] < seconds, context.told
