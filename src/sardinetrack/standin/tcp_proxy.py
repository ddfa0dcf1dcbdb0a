"""A TCP proxy for tests that can cut, freeze or delay its connections."""

from __future__ import annotations

import logging
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)
from anyio.streams.stapled import MultiListener

_BUFFERED_CHUNKS: Final = 64
_END_OF_STREAM: Final = b''

_log: Final = logging.getLogger(__name__)


class Direction(Enum):
    """The direction of bytes through the proxy."""

    TO_TARGET = auto()
    TO_CALLER = auto()


@dataclass(frozen=True, slots=True)
class _Delivery:
    """Bytes to forward; an empty chunk is the end of the stream."""

    due_seconds: float
    chunk: bytes


class _ProxiedConnection:
    """One caller's connection through the proxy."""

    def __init__(self, caller: SocketStream) -> None:
        self.caller = caller
        self.caller_reset = False
        self.released = anyio.Event()
        self.released.set()

    def reset_caller(self) -> None:
        """Close the caller's end; withhold the bytes that it has sent."""
        self.caller_reset = True
        self.released = anyio.Event()
        transport_socket = self.caller.extra(SocketAttribute.raw_socket)
        try:
            transport_socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            _log.debug('caller had already disconnected: %s', error)


class TcpProxy:
    """Forwards TCP connections to a target; ``open_proxy`` runs it."""

    def __init__(self, target_ip: str, target_port: int) -> None:
        """Build a proxy that is not yet open; needs a running event loop.

        :param target_ip: IP address of the target.
        :param target_port: port of the target.
        """
        self.delay_seconds: float = 0
        self.port = 0
        self._target = (target_ip, target_port)
        self._dropped: set[Direction] = set()
        self._connections: set[_ProxiedConnection] = set()
        self._unfrozen = anyio.Event()
        self._unfrozen.set()
        self._serving = anyio.CancelScope()
        self._opened = anyio.Event()
        self._closed = anyio.Event()
        self._restored = anyio.Event()

    async def cut(self) -> None:
        """Close all connections and the port; return when they are closed."""
        self._serving.cancel()
        await self._closed.wait()

    async def restore(self) -> None:
        """Open the port again after a cut; return when it is open."""
        self._restored.set()
        await self._opened.wait()

    def freeze(self) -> None:
        """Withhold all bytes in both directions; connections stay open."""
        if self._unfrozen.is_set():
            self._unfrozen = anyio.Event()

    def thaw(self) -> None:
        """Forward the withheld bytes and all later ones."""
        self._unfrozen.set()

    def reset_caller_connections(self) -> None:
        """Close all connections at their callers' end only.

        The bytes that the callers have sent are withheld, like packets that
        a network delays, and arrive after ``release_withheld_bytes``. The
        target doesn't see that the caller disconnected.
        """
        for connection in self._connections:
            connection.reset_caller()

    def release_withheld_bytes(self) -> None:
        """Forward the bytes withheld by ``reset_caller_connections``."""
        for connection in self._connections:
            connection.released.set()

    def drop(self, direction: Direction) -> None:
        """Discard all bytes in a direction from now on."""
        self._dropped.add(direction)

    def stop_dropping(self) -> None:
        """Forward bytes in both directions again."""
        self._dropped.clear()

    async def serve(
        self,
        ip: str,
        port: int,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, across cuts.

        :param ip: IP address to listen at.
        :param port: 0 lets the system choose; a cut keeps the port.
        :param task_status: started when the port is open.
        """
        self.port = port
        listener = await self._listen(ip)
        task_status.started()
        while True:
            async with listener:
                await self._serve_until_cut(listener)
            self._opened = anyio.Event()
            self._closed.set()
            await self._restored.wait()
            listener = await self._listen(ip)

    async def _listen(self, ip: str) -> MultiListener[SocketStream]:
        listener = await anyio.create_tcp_listener(
            local_host=ip,
            local_port=self.port,
        )
        self.port = listener.extra(SocketAttribute.local_port)
        self._closed = anyio.Event()
        self._restored = anyio.Event()
        return listener

    async def _serve_until_cut(
        self,
        listener: MultiListener[SocketStream],
    ) -> None:
        with anyio.CancelScope() as scope:
            self._serving = scope
            self._opened.set()
            await listener.serve(self._handle)

    async def _handle(self, caller: SocketStream) -> None:
        connection = _ProxiedConnection(caller)
        self._connections.add(connection)
        try:
            await self._connect(connection)
        finally:
            self._connections.discard(connection)

    async def _connect(self, connection: _ProxiedConnection) -> None:
        caller = connection.caller
        await self._unfrozen.wait()
        await connection.released.wait()
        try:
            target = await anyio.connect_tcp(*self._target)
        except OSError as error:
            _log.debug('target refused the connection: %s', error)
            await caller.aclose()
            return
        async with caller, target:
            await self._forward_both(connection, target)

    async def _forward_both(
        self,
        connection: _ProxiedConnection,
        target: SocketStream,
    ) -> None:
        caller = connection.caller
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward,
                    connection,
                    caller,
                    target,
                    Direction.TO_TARGET,
                )
                await self._forward(
                    connection, target, caller, Direction.TO_CALLER
                )
        except* anyio.BrokenResourceError:
            _log.debug('caller or target reset its connection')

    async def _forward(
        self,
        connection: _ProxiedConnection,
        source: SocketStream,
        sink: SocketStream,
        direction: Direction,
    ) -> None:
        sender, receiver = anyio.create_memory_object_stream[_Delivery](
            _BUFFERED_CHUNKS,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read, source, sender)
            await self._write(connection, receiver, sink, direction)

    async def _read(
        self,
        source: SocketStream,
        sender: MemoryObjectSendStream[_Delivery],
    ) -> None:
        async with sender:
            async for chunk in source:
                await sender.send(self._delivery(chunk))
            await sender.send(self._delivery(_END_OF_STREAM))

    async def _write(
        self,
        connection: _ProxiedConnection,
        receiver: MemoryObjectReceiveStream[_Delivery],
        sink: SocketStream,
        direction: Direction,
    ) -> None:
        async with receiver:
            async for delivery in receiver:
                await anyio.sleep_until(delivery.due_seconds)
                await self._unfrozen.wait()
                await connection.released.wait()
                if self._drops(connection, direction, delivery):
                    continue
                if delivery.chunk == _END_OF_STREAM:
                    await sink.send_eof()
                else:
                    await sink.send(delivery.chunk)

    def _drops(
        self,
        connection: _ProxiedConnection,
        direction: Direction,
        delivery: _Delivery,
    ) -> bool:
        is_end = delivery.chunk == _END_OF_STREAM
        return direction in self._dropped or (
            connection.caller_reset and is_end
        )

    def _delivery(self, chunk: bytes) -> _Delivery:
        return _Delivery(anyio.current_time() + self.delay_seconds, chunk)


@asynccontextmanager
async def open_proxy(
    target_ip: str,
    target_port: int,
    *,
    ip: str = '127.0.0.1',
    port: int = 0,
) -> AsyncIterator[TcpProxy]:
    """Run a proxy while the context lasts.

    :param target_ip: IP address of the target.
    :param target_port: port of the target.
    :param ip: IP address to listen at.
    :param port: 0 lets the system choose.
    :return: the open proxy.
    """
    relay = TcpProxy(target_ip, target_port)
    async with anyio.create_task_group() as tasks:
        await tasks.start(relay.serve, ip, port)
        try:
            yield relay
        finally:
            tasks.cancel_scope.cancel()
