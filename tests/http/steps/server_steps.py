"""Steps for the HTTP server and client."""

from __future__ import annotations

import asyncio
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from unittest.mock import patch

import anyio
from behave import given, then, when

from sardinetrack.entry.header_checks import HeaderLimits
from sardinetrack.entry.protocol import caller_protocol
from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.http.client import (
    ConnectionBrokenError,
    HttpClient,
    RequestNotSentError,
)
from sardinetrack.http.guard import ServerLimits, guarded_protocol
from sardinetrack.http.server import _Server, bind, serve

_IP = '127.0.0.1'
_CALL = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
_HALF_LENGTH = len(_CALL) // 2
_LATE_SECONDS = 0.5
_SLOW_SECONDS = 0.4
_CLIENTS = 20


def _protocol(listener):
    if listener == 'callers':
        return caller_protocol(HeaderLimits(), _CLIENTS)
    return guarded_protocol(ServerLimits(max_connections=_CLIENTS))


async def _respond(scope: Scope, receive: Receive, send: Send) -> None:
    await HttpExchange(scope, receive, send).respond_json(200, {})


async def _fail_midway(scope: Scope, receive: Receive, send: Send) -> None:
    exchange = HttpExchange(scope, receive, send)
    await exchange.start(200, ())
    await exchange.write(b'part')
    raise RuntimeError('fails midway')


@given('a server inside a cancel scope')
def given_scope(context):
    context.application = _respond


@when('the scope is cancelled')
def when_cancelled(context):
    async def run() -> str:
        with anyio.CancelScope() as scope:
            async with serve(context.application, _IP, 0) as server:
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
    except RequestNotSentError:
        return
    raise AssertionError('the server still accepts connections')


@given('a server whose handler fails after part of the body')
def given_failing(context):
    context.application = _fail_midway


@when('a client reads the response')
def when_read(context):
    async def run() -> bool:
        async with (
            serve(context.application, _IP, 0) as server,
            HttpClient() as client,
        ):
            try:
                await client.call('GET', server.url)
            except ConnectionBrokenError:
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


@given('a server that responds to every call')
def given_responding(context):
    context.application = _respond
    context.protocol = None


@given('a server of {listener} that responds to every call')
def given_listener_responding(context, listener):
    context.application = _respond
    context.protocol = _protocol(listener)


async def _respond_slowly(scope: Scope, receive: Receive, send: Send) -> None:
    exchange = HttpExchange(scope, receive, send)
    await exchange.start(200, [('content-length', '2')])
    await exchange.write(b'o')
    await anyio.sleep(_SLOW_SECONDS)
    await exchange.finish(b'k')


@given('a server of {listener} that responds slowly')
def given_listener_slow(context, listener):
    context.application = _respond_slowly
    context.protocol = _protocol(listener)


async def _stop_after_connect(context, call, before=b''):
    """Stop a server to which a client has just connected."""
    loop = asyncio.get_running_loop()
    server_context = serve(
        context.application, _IP, 0, protocol=context.protocol
    )
    async with server_context as server:
        reader, writer = await asyncio.open_connection(_IP, server.port)
        writer.write(before)
        await anyio.sleep(0.05)
        server.stop()
        stopped_seconds = loop.time()
        await anyio.sleep(0.15)
        if before:
            await anyio.sleep(_LATE_SECONDS)
        writer.write(call)
        with anyio.fail_after(5):
            response = await reader.read()
            await server.wait_closed()
        writer.close()
        return response, loop.time() - stopped_seconds


@when('a client connects, the server stops, and the client sends a call')
def when_stopped_after_connect(context):
    context.outcome = anyio.run(_stop_after_connect, context, _CALL)


@when('a client connects, and the server stops')
def when_stopped(context):
    context.outcome = anyio.run(_stop_after_connect, context, b'')


@when('a client sends half a header, the server stops, and the rest follows')
def when_stopped_in_header(context):
    context.outcome = anyio.run(
        _stop_after_connect, context, _CALL[_HALF_LENGTH:], _CALL[:_HALF_LENGTH]
    )


def _block_loop():
    time.sleep(_LATE_SECONDS)


def _call_once(port):
    """Send a call on a new connection and read to the end."""
    with socket.create_connection((_IP, port), timeout=5) as connection:
        connection.sendall(_CALL)
        try:
            return b''.join(iter(lambda: connection.recv(4096), b''))
        except ConnectionError as error:
            return repr(error).encode()


async def _stop_late(context):
    """Let clients connect while the loop is blocked just before shutdown."""
    server_context = serve(
        context.application, _IP, 0, protocol=context.protocol
    )
    main_loop = _Server.main_loop
    with ThreadPoolExecutor(_CLIENTS) as threads:
        futures = []

        async def late(server):
            await main_loop(server)
            futures.extend(
                threads.submit(_call_once, port) for _ in range(_CLIENTS)
            )
            _block_loop()

        with patch.object(_Server, 'main_loop', late):
            async with server_context as server:
                port = server.port
                server.stop()
                await server.wait_closed()
    return [future.result() for future in futures]


@when(
    '{count:d} clients connect and call while the loop is late'
    ' and the server stops'
)
def when_backlog(context, count):
    assert count == _CLIENTS
    context.responses = anyio.run(_stop_late, context)


@then('all clients get a response')
def then_all_responses(context):
    wrong = [
        response
        for response in context.responses
        if not response.startswith(b'HTTP/1.1 200')
    ]
    assert len(context.responses) == _CLIENTS
    assert not wrong, (len(wrong), wrong[:3])


async def _stop_in_response(context):
    loop = asyncio.get_running_loop()
    server_context = serve(
        context.application, _IP, 0, protocol=context.protocol
    )
    async with server_context as server:
        reader, writer = await asyncio.open_connection(_IP, server.port)
        writer.write(_CALL)
        first = await reader.readuntil(b'\r\n\r\n')
        server.stop()
        stopped_seconds = loop.time()
        with anyio.fail_after(5):
            first += await reader.readexactly(2)
            writer.write(_CALL)
            second = await reader.read()
            await server.wait_closed()
        writer.close()
    return first, second, loop.time() - stopped_seconds


@when('a response has begun, the server stops, and a second call follows it')
def when_stopped_in_response(context):
    first, second, seconds = anyio.run(_stop_in_response, context)
    context.responses = [first, second]
    context.outcome = (second, seconds)


@then('the client gets both responses and the connection is closed')
def then_both(context):
    first, second = context.responses
    assert b'connection: close' not in first.lower(), first
    assert first.endswith(b'ok'), context.responses
    assert second.startswith(b'HTTP/1.1 200'), context.responses
    assert second.endswith(b'ok'), context.responses


async def _evict_idle(context):
    server_context = serve(
        context.application, _IP, 0, protocol=context.protocol
    )
    async with server_context as server:
        reader, writer = await asyncio.open_connection(_IP, server.port)
        await anyio.sleep(0.05)
        writer.write(_CALL)
        # The loop does not run between the request's arrival and the eviction.
        context.protocol.idle.evict_idle(_CLIENTS + 1)
        with anyio.fail_after(5):
            response = await reader.read(4096)
        writer.close()
    return response


@when('idle connections are evicted while one has an unread request')
def when_evicted(context):
    context.outcome = (anyio.run(_evict_idle, context), 0)


@then('the client gets a response')
def then_response(context):
    assert context.outcome[0].startswith(b'HTTP/1.1 200'), context.outcome


@then('the client gets a response and the connection is closed')
def then_response_and_closed(context):
    assert context.outcome[0].startswith(b'HTTP/1.1 200'), context.outcome


@then('the server has stopped within {seconds:g} seconds')
def then_stopped(context, seconds):
    assert context.outcome[1] < seconds, context.outcome
