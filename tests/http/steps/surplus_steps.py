"""Steps for servers that send more than one response to a request."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any, Final

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream
from behave import given, then, when

from sardinetrack.http.client import (
    EXCHANGE_HEADER,
    ConnectionBrokenError,
    HttpClient,
    OtherResponseError,
)

_IP: Final = '127.0.0.1'
_TIMEOUT_SECONDS: Final = 5.0
_OTHER: Final = b'a response to another request'
_MAX_HEAD_BYTES: Final = 10_000

Reply = Callable[[SocketStream, bytes], Awaitable[None]]


def _response(body: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


async def _send(stream: SocketStream, *responses: bytes) -> None:
    await stream.send(b''.join(responses))


class _RawServer:
    """A server whose first response is written by a function."""

    def __init__(self, first_reply: Reply) -> None:
        self.connections = 0
        self._first_reply: Reply | None = first_reply

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[str]:
        listener = await anyio.create_tcp_listener(local_host=_IP)
        port = listener.extra(SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve_connection)
            yield f'http://{_IP}:{port}'
            tasks.cancel_scope.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        self.connections += 1
        reader = BufferedByteReceiveStream(stream)
        async with stream:
            while True:
                try:
                    head = await reader.receive_until(
                        b'\r\n\r\n', _MAX_HEAD_BYTES
                    )
                except (anyio.IncompleteRead, anyio.BrokenResourceError):
                    return
                await self._reply(stream, head.split()[1])

    async def _reply(self, stream: SocketStream, path: bytes) -> None:
        first_reply = self._first_reply
        self._first_reply = None
        if first_reply is None:
            await stream.send(_response(path))
        else:
            await first_reply(stream, path)


class _LateServer(_RawServer):
    """Responds to the first request again when the second has arrived."""

    def __init__(self) -> None:
        super().__init__(_twice)
        self._paths: list[bytes] = []

    async def _reply(self, stream: SocketStream, path: bytes) -> None:
        self._paths.append(path)
        responses = [_echoing(path)]
        if len(self._paths) == 2:
            responses.insert(0, _echoing(self._paths[0]))
        await _send(stream, *responses)


def _echoing(path: bytes) -> bytes:
    status, rest = _response(path).split(b'\r\n', 1)
    name = EXCHANGE_HEADER.encode()
    return b'%b\r\n%b: %b\r\n%b' % (status, name, path, rest)


async def _twice(stream: SocketStream, path: bytes) -> None:
    await _send(stream, _response(path), _response(path))


async def _twice_late(stream: SocketStream, path: bytes) -> None:
    await stream.send(_response(path))
    await anyio.sleep(0.05)
    await stream.send(_response(path))


async def _second_empty(stream: SocketStream, path: bytes) -> None:
    await _send(stream, _response(path), b'HTTP/1.1 204 No Content\r\n\r\n')


async def _second_half(stream: SocketStream, path: bytes) -> None:
    await _send(stream, _response(path), _response(path)[:20])


async def _noise(stream: SocketStream, path: bytes) -> None:
    await _send(stream, _response(path), b'\x00noise')


def _sized(size: int) -> Reply:
    async def reply(stream: SocketStream, path: bytes) -> None:
        head_bytes = len(_response(b'')) + len(str(size)) - 1
        first = _response(path.ljust(size - head_bytes))
        assert len(first) == size, len(first)
        await _send(stream, first, _response(path))

    return reply


_REPLIES: Final = MappingProxyType(
    {
        'a second response at once': _twice,
        'a second response after 0.05 seconds': _twice_late,
        'a second response without a body': _second_empty,
        'half a second response at once': _second_half,
        'bytes that are no response': _noise,
    }
)


@given('a server that sends {surplus} after its first response')
def given_surplus(context: Any, surplus: str) -> None:
    context.raw_server = _RawServer(_REPLIES[surplus])


@given('a server that sends a second response after one of {size:d} bytes')
def given_sized(context: Any, size: int) -> None:
    context.raw_server = _RawServer(_sized(size))


@given('a server that sends a second response after the next request')
def given_late(context: Any) -> None:
    context.raw_server = _LateServer()


async def _call(client: HttpClient, url: str, path: str) -> bytes:
    try:
        response = await client.call(
            'GET',
            url + path,
            read_timeout_seconds=_TIMEOUT_SECONDS,
            exchange_id=path,
        )
    except OtherResponseError:
        return _OTHER
    except ConnectionBrokenError as error:
        return repr(error).encode()
    return response.body.rstrip()


@when('a client makes {calls:d} calls, {seconds:f} seconds apart')
def when_calls(context: Any, calls: int, seconds: float) -> None:
    async def run() -> dict[bytes, bytes]:
        bodies = {}
        async with (
            context.raw_server.serving() as url,
            HttpClient() as client,
        ):
            for number in range(calls):
                path = f'/{number}'
                bodies[path.encode()] = await _call(client, url, path)
                await anyio.sleep(seconds)
        return bodies

    context.bodies = anyio.run(run)


@then('each call gets its own response')
def then_own(context: Any) -> None:
    for path, body in context.bodies.items():
        assert path == body, context.bodies


@then('call {number:d} ends without a response and the others get their own')
def then_one_other(context: Any, number: int) -> None:
    expected = {path: path for path in context.bodies}
    expected[b'/%d' % number] = _OTHER
    assert context.bodies == expected, context.bodies


@then('the calls used {count:d} connections')
def then_connections(context: Any, count: int) -> None:
    assert context.raw_server.connections == count
