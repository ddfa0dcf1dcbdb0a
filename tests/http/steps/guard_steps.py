"""Steps for the guarded protocol."""

from __future__ import annotations

import socket
import time
from contextlib import ExitStack
from typing import Any

from anyio.from_thread import start_blocking_portal
from behave import given, then, when

from sardinetrack.http.asgi import Exchange, Receive, Scope, Send
from sardinetrack.http.guard import ServerBounds
from sardinetrack.http.server import serving

_IP = '127.0.0.1'
_HEAD_SECONDS = 0.4
_STEP_SECONDS = 0.1
_PATIENCE_SECONDS = 10.0
_HALF = b'GET / HTTP/1.1\r\nhost: x\r\n'
_WHOLE = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_BOUNDS = ServerBounds(
    max_connections=20,
    max_head_bytes=8192,
    head_seconds=_HEAD_SECONDS,
    linger_seconds=_HEAD_SECONDS,
)


async def _answer(scope: Scope, receive: Receive, send: Send) -> None:
    exchange = Exchange(scope, receive, send)
    if exchange.path == '/read':
        await exchange.body(1000, _PATIENCE_SECONDS)
    await exchange.answer(200, b'ok')


@given('a guarded server with 20 connections and short bounds')
def given_server(context: Any) -> None:
    context.stack = ExitStack()
    context.add_cleanup(context.stack.close)
    portal = context.stack.enter_context(start_blocking_portal())
    server = portal.wrap_async_context_manager(
        serving(_answer, _IP, 0, bounds=_BOUNDS),
    )
    context.port = context.stack.enter_context(server).port


def _connect(context: Any) -> socket.socket:
    address = (_IP, context.port)
    link = socket.create_connection(address, timeout=_PATIENCE_SECONDS)
    return context.stack.enter_context(link)


def _send_on(context: Any, piece: bytes, pause_seconds: float) -> None:
    """Send until the other end has closed."""
    deadline = time.monotonic() + _PATIENCE_SECONDS
    try:
        while time.monotonic() < deadline:
            context.link.sendall(piece)
            time.sleep(pause_seconds)
    except OSError:
        return
    raise AssertionError('the connection stays open')


@when('a stranger sends a header without an end')
def when_endless_head(context: Any) -> None:
    context.link = _connect(context)
    context.link.sendall(_HALF)
    context.link.sendall(b'x-long: ')
    _send_on(context, b'x' * 4096, 0)


@when('a stranger sends nothing')
def when_silent(context: Any) -> None:
    context.link = _connect(context)


@when('a stranger sends a byte of a head at a time')
def when_slow_head(context: Any) -> None:
    context.link = _connect(context)
    context.link.sendall(_HALF)
    context.link.sendall(b'x-slow: ')
    _send_on(context, b'x', _STEP_SECONDS)


@when('a stranger is answered, then sends half a head')
def when_half(context: Any) -> None:
    context.link = _connect(context)
    context.link.sendall(_WHOLE)
    assert context.link.recv(1000).startswith(b'HTTP/1.1 200')
    context.link.sendall(_HALF)


@when('a stranger is answered and sends its body on and on')
def when_endless_body(context: Any) -> None:
    context.link = _connect(context)
    head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n'
    context.link.sendall(head)
    assert context.link.recv(1000).startswith(b'HTTP/1.1 200')
    _send_on(context, b'x', _STEP_SECONDS / 10)


@when('strangers open {count:d} connections and send nothing')
def when_idle(context: Any, count: int) -> None:
    for _ in range(count):
        _connect(context)


@when('strangers open {count:d} connections and send half a head on each')
def when_half_heads(context: Any, count: int) -> None:
    for _ in range(count):
        _connect(context).sendall(_HALF)
    time.sleep(_STEP_SECONDS)


@when('a peer sends a body that takes longer than a head may')
def when_slow_body(context: Any) -> None:
    context.link = _connect(context)
    head = b'POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 12\r\n\r\n'
    context.link.sendall(head)
    for _ in range(12):
        time.sleep(_STEP_SECONDS)
        context.link.sendall(b'x')


@then("the stranger's connection is cut")
def then_cut(context: Any) -> None:
    received = b'more'
    while received:
        try:
            received = context.link.recv(4096)
        except ConnectionError:
            return


@then('another call is answered')
def then_answered(context: Any) -> None:
    context.link = _connect(context)
    context.link.sendall(_WHOLE)
    _check_answer(context)


@then('the peer gets its answer')
def then_own_answer(context: Any) -> None:
    _check_answer(context)


def _check_answer(context: Any) -> None:
    received = context.link.recv(1000)
    assert received.startswith(b'HTTP/1.1 200'), received
