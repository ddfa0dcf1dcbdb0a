"""The client's side of a fake connection, for HTTP and for links."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import Any, Final
from unittest.mock import patch

import anyio
import httpcore
from websockets.exceptions import ConnectionClosedError

from benchmarks.chaos.virtual.network import (
    Connection,
    Network,
    RefusedError,
)
from benchmarks.chaos.virtual.pipe import Pipe, PipeBrokenError
from benchmarks.chaos.virtual.serve import RawHeaders, VirtualRequest
from sardinetrack.http.client import (
    EXCHANGE_HEADER,
    ConnectionBrokenError,
    HttpClient,
    RequestNotSentError,
    StreamedResponse,
)
from sardinetrack.messages.run import RUN_PATH

_MAX_DELAY_SECONDS: Final = 8.0
_LATE_CONNECTION_SECONDS: Final = 3.0
_DUPLICATED_FRACTION: Final = 0.5
"""Fraction of the late run requests that also arrive in time."""
_SCHEME: Final = '://'


class VirtualHttp(HttpClient):
    """Calls over fake connections, one for each call."""

    def __init__(self, network: Network) -> None:
        """Build a client for a virtual network."""
        super().__init__()
        self._network = network

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        read_timeout_seconds: float | None = None,
        exchange_id: str | None = None,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield its response while it arrives."""
        address, target = _split(url)
        pairs = [*headers, ('host', address)]
        if exchange_id is not None:
            pairs.append((EXCHANGE_HEADER, exchange_id))
        if body or method != 'GET':
            pairs.append(('content-length', str(len(body))))
        request = VirtualRequest(method, target, _encoded(pairs), body)
        try:
            connection = await self._network.connect(address)
        except RefusedError as error:
            raise RequestNotSentError(str(error)) from error
        with self._network.connected(connection):
            if target != RUN_PATH or not self._diverts(connection, request):
                connection.forward.send(request)
            response = await _response(connection.backward)
            yield StreamedResponse(response, _accept_end)

    def _diverts(self, connection: Connection, request: VirtualRequest) -> bool:
        """Let some run requests arrive late, their responses being discarded.

        :return: whether the run request does not arrive in time and its
            connection is reset instead.
        """
        random = self._network.random
        if random.random() >= self._network.late_fraction:
            return False
        loop = asyncio.get_running_loop()
        late = partial(self._deliver_late, connection, request)
        loop.call_later(random.random() * _MAX_DELAY_SECONDS, late)
        if random.random() < _DUPLICATED_FRACTION:
            return False
        loop.call_later(random.random(), connection.reset)
        return True

    def _deliver_late(
        self, original: Connection, request: VirtualRequest
    ) -> None:
        node = self._network.nodes.get(original.target)
        if node is None or not node.is_listening:
            return
        endpoints = (original.caller, original.target)
        duplicate = Connection(
            *endpoints,
            Pipe(self._network, *endpoints),
            Pipe(self._network, *reversed(endpoints)),
        )
        duplicate.forward.send(request)
        node.accept(duplicate)
        end = duplicate.forward.end
        asyncio.get_running_loop().call_later(_LATE_CONNECTION_SECONDS, end)


async def _accept_end(_: httpcore.Response) -> None:
    """Accept an end, which a pipe tells from a break, as chunks do."""


class _WebSocket:
    """The part of the library's connection interface that a dialer uses."""

    def __init__(self, connection: Connection, headers: RawHeaders) -> None:
        self._connection = connection
        self.transport = self
        self.response = self
        self.headers = {
            name.decode(): text.decode('latin-1') for name, text in headers
        }

    async def send(self, frame: bytes, *, text: bool) -> None:
        """Send a frame."""
        if self._connection.backward.ended:
            raise ConnectionClosedError(None, None)
        self._connection.forward.send(frame)

    async def recv(self, *, decode: bool) -> bytes:
        """Wait for a frame."""
        try:
            return bytes(await self._connection.backward.receive())
        except PipeBrokenError as error:
            raise ConnectionClosedError(None, None) from error

    def abort(self) -> None:
        """Abort the connection."""
        self._connection.forward.end()
        self._connection.backward.reset()


class _LibraryPatches:
    """Replaces the library functions with which daemons open connections."""

    def __init__(self, network: Network) -> None:
        self._network = network

    async def connect(
        self,
        uri: str,
        *,
        additional_headers: list[tuple[str, str]],
        open_timeout: float,
        **others: Any,
    ) -> _WebSocket:
        """Open a link."""
        address, target = _split(uri)
        request = VirtualRequest(
            'GET', target, _encoded(additional_headers), is_link=True
        )
        with anyio.fail_after(open_timeout):
            connection = await self._open(address)
            connection.forward.send(request)
            try:
                accepted = await connection.backward.receive()
            except PipeBrokenError as error:
                raise OSError('no handshake') from error
        if accepted['type'] != 'websocket.accept':
            raise OSError('refused')
        return _WebSocket(connection, accepted['headers'])

    async def connect_tcp(self, ip: str, port: int) -> _Probe:
        """Open a connection that is only a probe."""
        return _Probe(await self._open(f'{ip}:{port}'))

    async def _open(self, address: str) -> Connection:
        try:
            return await self._network.connect(address)
        except RefusedError as error:
            raise OSError(str(error)) from error


@contextmanager
def patch_libraries(network: Network) -> Iterator[None]:
    """Use fake connections for the links and the services' probes."""
    patches = _LibraryPatches(network)
    with (
        patch('sardinetrack.links.client.connect', patches.connect),
        patch('anyio.connect_tcp', patches.connect_tcp),
    ):
        yield


class _Probe:
    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    async def aclose(self) -> None:
        """Close the connection."""
        self._connection.forward.end()


async def _response(backward: Pipe) -> httpcore.Response:
    try:
        start = await backward.receive()
    except PipeBrokenError as error:
        raise ConnectionBrokenError('cut') from error
    return httpcore.Response(
        start['status'],
        headers=start['headers'],
        content=_content(backward),
    )


async def _content(backward: Pipe) -> AsyncIterator[bytes]:
    more = True
    while more:
        try:
            message = await backward.receive()
        except PipeBrokenError as error:
            raise httpcore.ReadError('cut') from error
        more = message.get('more_body', False)
        yield message.get('body', b'')


def _split(url: str) -> tuple[str, str]:
    address, _, target = url.partition(_SCHEME)[2].partition('/')
    return address, f'/{target}'


def _encoded(pairs: Iterable[tuple[str, str]]) -> RawHeaders:
    return [(name.lower().encode(), text.encode()) for name, text in pairs]
