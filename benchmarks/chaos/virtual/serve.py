"""The server's side of a fake connection: one ASGI call."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any, Final

from benchmarks.chaos.virtual.network import Connection
from benchmarks.chaos.virtual.pipe import PipeBrokenError
from sardinetrack.entry.caller import TRANSPORT_STATE
from sardinetrack.http.asgi import Application, Message, Scope

_LOG: Final = logging.getLogger('benchmarks.chaos')
_IP: Final = '10.0.0.1'
_TYPE: Final = 'type'
_ERROR: Final = 500

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class VirtualRequest:
    """The first item on a connection: a complete request."""

    method: str
    target: str
    headers: RawHeaders
    body: bytes = b''
    is_link: bool = False

    def scope(self, connection: Connection, number: int) -> Scope:
        """Build the ASGI scope that a server passes to its application."""
        path, _, query = self.target.partition('?')
        return {
            _TYPE: 'websocket' if self.is_link else 'http',
            'http_version': '1.1',
            'method': self.method,
            'path': path,
            'raw_path': path.encode(),
            'query_string': query.encode(),
            'headers': self.headers,
            'client': (_IP, number),
            'state': {TRANSPORT_STATE: _Transport(connection)},
        }


class _Transport:
    """The transport with which an entry closes a caller's connection."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def close(self) -> None:
        """Close after everything that was written."""
        self._connection.backward.end()

    def get_write_buffer_size(self) -> int:
        """Return 0: fake connections buffer nothing."""
        return 0

    def abort(self) -> None:
        """Close immediately."""
        self._connection.reset()


class _Server:
    """The ``receive`` and ``send`` callables of an ASGI call."""

    def __init__(self, connection: Connection, body: bytes) -> None:
        self._connection = connection
        self._body: bytes | None = body
        self.started = False
        self.finished = False

    async def receive(self) -> Message:
        """Return the body, then wait for the end of the connection."""
        if self._body is not None:
            body = self._body
            self._body = None
            return {_TYPE: 'http.request', 'body': body, 'more_body': False}
        try:
            await self._connection.forward.receive()
        except PipeBrokenError:
            return {_TYPE: 'http.disconnect'}
        raise AssertionError('a connection carries only one request')

    async def send(self, message: Message) -> None:
        """Send a part of the response."""
        self.started = True
        if message[_TYPE] == 'http.response.body':
            self.finished = not message.get('more_body', False)
        self._connection.backward.send(message)


async def serve_http(
    application: Application,
    connection: Connection,
    request: VirtualRequest,
    number: int,
) -> None:
    """Serve one request, as uvicorn would."""
    server = _Server(connection, request.body)
    scope = request.scope(connection, number)
    try:
        await application(scope, server.receive, server.send)
    except Exception:
        # uvicorn logs the error and closes; the client sees an interrupted
        # response.
        _LOG.debug('chaos: the application failed', exc_info=True)
        if not server.started:
            start = {_TYPE: 'http.response.start', 'status': _ERROR}
            await server.send({**start, 'headers': []})
            await server.send({_TYPE: 'http.response.body', 'body': b''})


class _LinkServer:
    """The ``receive`` and ``send`` callables of an ASGI WebSocket."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._opened = False

    async def receive(self) -> Message:
        """Return the next frame."""
        if not self._opened:
            self._opened = True
            return {_TYPE: 'websocket.connect'}
        try:
            frame = await self._connection.forward.receive()
        except PipeBrokenError:
            return {_TYPE: 'websocket.disconnect'}
        return {_TYPE: 'websocket.receive', 'bytes': frame}

    async def send(self, message: Message) -> None:
        """Send the handshake's response or a frame."""
        item: Any = message
        if message[_TYPE] == 'websocket.send':
            item = message['text'].encode()
        self._connection.backward.send(item)


async def serve_websocket(
    application: Application,
    connection: Connection,
    request: VirtualRequest,
    number: int,
) -> None:
    """Carry the frames of one link."""
    server = _LinkServer(connection)
    scope = request.scope(connection, number)
    await application(scope, server.receive, server.send)
