"""The client's end of a fake connection, for HTTP and for links."""

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
from benchmarks.chaos.virtual.serve import Head, RawHeaders
from sardinetrack.http.client import (
    BrokenError,
    HttpClient,
    NotSentError,
    StreamedReply,
)
from sardinetrack.messages.run import RUN_PATH

_LONGEST_LATE_SECONDS: Final = 8.0
_GHOST_SECONDS: Final = 3.0
_COPIED_PART: Final = 0.5
"""Of the late orders, those that also arrived in time."""
_SCHEME: Final = '://'


class VirtualHttp(HttpClient):
    """Calls over fake connections, one for each call."""

    def __init__(self, network: Network) -> None:
        """Use a network instead of sockets."""
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
        read_seconds: float | None = None,
    ) -> AsyncIterator[StreamedReply]:
        """Send a request and hand out its answer while it arrives."""
        address, target = _split(url)
        pairs = [*headers, ('host', address)]
        if body or method != 'GET':
            pairs.append(('content-length', str(len(body))))
        head = Head(method, target, _encoded(pairs), body)
        try:
            connection = await self._network.connect(address)
        except RefusedError as error:
            raise NotSentError(str(error)) from error
        with self._network.connected(connection):
            if target != RUN_PATH or not self._goes_astray(connection, head):
                connection.there.send(head)
            yield StreamedReply(await _response(connection.back))

    def _goes_astray(self, connection: Connection, head: Head) -> bool:
        """Let some orders arrive late, answering nobody.

        :return: whether the order does not arrive in time, and its
            connection breaks instead.
        """
        random = self._network.random
        if random.random() >= self._network.astray:
            return False
        loop = asyncio.get_running_loop()
        late = partial(self._arrive_late, connection, head)
        loop.call_later(random.random() * _LONGEST_LATE_SECONDS, late)
        if random.random() < _COPIED_PART:
            return False
        loop.call_later(random.random(), connection.cut)
        return True

    def _arrive_late(self, first: Connection, head: Head) -> None:
        node = self._network.nodes.get(first.target)
        if node is None or not node.listens:
            return
        ends = (first.caller, first.target)
        ghost = Connection(
            *ends,
            Pipe(self._network, *ends),
            Pipe(self._network, *reversed(ends)),
        )
        ghost.there.send(head)
        node.take(ghost)
        end = ghost.there.end
        asyncio.get_running_loop().call_later(_GHOST_SECONDS, end)


class _WebSocket:
    """As much of the library's connection as a dialer uses."""

    def __init__(self, connection: Connection, headers: RawHeaders) -> None:
        self._connection = connection
        self.transport = self
        self.response = self
        self.headers = {
            name.decode(): text.decode('latin-1') for name, text in headers
        }

    async def send(self, frame: bytes, *, text: bool) -> None:
        """Send a frame."""
        if self._connection.back.ended:
            raise ConnectionClosedError(None, None)
        self._connection.there.send(frame)

    async def recv(self, *, decode: bool) -> bytes:
        """Wait for a frame."""
        try:
            return bytes(await self._connection.back.receive())
        except PipeBrokenError as error:
            raise ConnectionClosedError(None, None) from error

    def abort(self) -> None:
        """Drop the connection."""
        self._connection.there.end()
        self._connection.back.cut()


class _Seams:
    """Stands where the daemons call a library to open a connection."""

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
        head = Head('GET', target, _encoded(additional_headers), is_link=True)
        with anyio.fail_after(open_timeout):
            connection = await self._opened(address)
            connection.there.send(head)
            try:
                accepted = await connection.back.receive()
            except PipeBrokenError as error:
                raise OSError('no handshake') from error
        if accepted['type'] != 'websocket.accept':
            raise OSError('refused')
        return _WebSocket(connection, accepted['headers'])

    async def connect_tcp(self, ip: str, port: int) -> _Probe:
        """Open a connection that only probes."""
        return _Probe(await self._opened(f'{ip}:{port}'))

    async def _opened(self, address: str) -> Connection:
        try:
            return await self._network.connect(address)
        except RefusedError as error:
            raise OSError(str(error)) from error


@contextmanager
def library_seams(network: Network) -> Iterator[None]:
    """Put fake connections beneath the links and the services' probes."""
    seams = _Seams(network)
    with (
        patch('sardinetrack.links.client.connect', seams.connect),
        patch('anyio.connect_tcp', seams.connect_tcp),
    ):
        yield


class _Probe:
    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    async def aclose(self) -> None:
        """Close."""
        self._connection.there.end()


async def _response(back: Pipe) -> httpcore.Response:
    try:
        start = await back.receive()
    except PipeBrokenError as error:
        raise BrokenError('cut') from error
    return httpcore.Response(
        start['status'],
        headers=start['headers'],
        content=_content(back),
    )


async def _content(back: Pipe) -> AsyncIterator[bytes]:
    more = True
    while more:
        try:
            message = await back.receive()
        except PipeBrokenError as error:
            raise httpcore.ReadError('cut') from error
        more = message.get('more_body', False)
        yield message.get('body', b'')


def _split(url: str) -> tuple[str, str]:
    address, _, target = url.partition(_SCHEME)[2].partition('/')
    return address, f'/{target}'


def _encoded(pairs: Iterable[tuple[str, str]]) -> RawHeaders:
    return [(name.lower().encode(), text.encode()) for name, text in pairs]
