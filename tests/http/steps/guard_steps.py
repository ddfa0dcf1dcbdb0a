"""Steps for the guarded protocol."""

from __future__ import annotations

import socket
import time
from contextlib import ExitStack
from typing import Any

from anyio.from_thread import start_blocking_portal
from behave import given, then, when

from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.http.guard import ServerLimits
from sardinetrack.http.server import serve

_IP = '127.0.0.1'
_HEADER_SECONDS = 0.4
_STEP_SECONDS = 0.1
_TIMEOUT_SECONDS = 10.0
_HALF_HEADER = b'GET / HTTP/1.1\r\nhost: x\r\n'
_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_LIMITS = ServerLimits(
    max_connections=20,
    max_header_bytes=8192,
    header_timeout_seconds=_HEADER_SECONDS,
    linger_seconds=_HEADER_SECONDS,
)


async def _respond(scope: Scope, receive: Receive, send: Send) -> None:
    exchange = HttpExchange(scope, receive, send)
    if exchange.path == '/read':
        await exchange.body(1000, _TIMEOUT_SECONDS)
    await exchange.respond(200, b'ok')


@given('a guarded server with 20 connections and short limits')
def given_server(context: Any) -> None:
    context.stack = ExitStack()
    context.add_cleanup(context.stack.close)
    portal = context.stack.enter_context(start_blocking_portal())
    server = portal.wrap_async_context_manager(
        serve(_respond, _IP, 0, bounds=_LIMITS),
    )
    context.port = context.stack.enter_context(server).port


def _connect(context: Any) -> socket.socket:
    address = (_IP, context.port)
    connection = socket.create_connection(address, timeout=_TIMEOUT_SECONDS)
    return context.stack.enter_context(connection)


def _send_until_closed(
    context: Any, chunk: bytes, pause_seconds: float
) -> None:
    """Send the chunk repeatedly until the server closes the connection."""
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    try:
        while time.monotonic() < deadline:
            context.connection.sendall(chunk)
            time.sleep(pause_seconds)
    except OSError:
        return
    raise AssertionError('the connection stays open')


@when('a client sends an endless header')
def when_endless_header(context: Any) -> None:
    context.connection = _connect(context)
    context.connection.sendall(_HALF_HEADER)
    context.connection.sendall(b'x-long: ')
    _send_until_closed(context, b'x' * 4096, 0)


@when('a client sends nothing')
def when_silent(context: Any) -> None:
    context.connection = _connect(context)


@when('a client sends a header byte by byte')
def when_slow_header(context: Any) -> None:
    context.connection = _connect(context)
    context.connection.sendall(_HALF_HEADER)
    context.connection.sendall(b'x-slow: ')
    _send_until_closed(context, b'x', _STEP_SECONDS)


@when('a client gets a response, then sends half a header')
def when_half(context: Any) -> None:
    context.connection = _connect(context)
    context.connection.sendall(_REQUEST)
    assert context.connection.recv(1000).startswith(b'HTTP/1.1 200')
    context.connection.sendall(_HALF_HEADER)


@when('a client gets a response and sends an endless body')
def when_endless_body(context: Any) -> None:
    context.connection = _connect(context)
    header = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n'
    context.connection.sendall(header)
    assert context.connection.recv(1000).startswith(b'HTTP/1.1 200')
    _send_until_closed(context, b'x', _STEP_SECONDS / 10)


@when('clients open {count:d} connections and send nothing')
def when_idle(context: Any, count: int) -> None:
    for _ in range(count):
        _connect(context)


@when('clients open {count:d} connections and send half a header on each')
def when_half_headers(context: Any, count: int) -> None:
    for _ in range(count):
        _connect(context).sendall(_HALF_HEADER)
    time.sleep(_STEP_SECONDS)


@when('a client sends a body that takes longer than a header may')
def when_slow_body(context: Any) -> None:
    context.connection = _connect(context)
    header = b'POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 12\r\n\r\n'
    context.connection.sendall(header)
    for _ in range(12):
        time.sleep(_STEP_SECONDS)
        context.connection.sendall(b'x')


@then("the client's connection is closed")
def then_closed(context: Any) -> None:
    received = b'more'
    while received:
        try:
            received = context.connection.recv(4096)
        except ConnectionError:
            return


@then('another call succeeds')
def then_succeeded(context: Any) -> None:
    context.connection = _connect(context)
    context.connection.sendall(_REQUEST)
    _check_response(context)


@then('the client gets its response')
def then_own_response(context: Any) -> None:
    _check_response(context)


def _check_response(context: Any) -> None:
    received = context.connection.recv(1000)
    assert received.startswith(b'HTTP/1.1 200'), received
