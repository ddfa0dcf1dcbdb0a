"""A TCP relay for tests, whose link can be cut, frozen or slowed."""

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
_END: Final = b''

_log: Final = logging.getLogger(__name__)


class Direction(Enum):
    """The way of bytes through the relay."""

    TO_TARGET = auto()
    TO_CALLER = auto()


@dataclass(frozen=True, slots=True)
class _Delivery:
    """Bytes on their way; an empty chunk is the end of the stream."""

    due_seconds: float
    chunk: bytes


class _Line:
    """One caller's connection through the relay."""

    def __init__(self, caller: SocketStream) -> None:
        """Let its bytes flow."""
        self.caller = caller
        self.stranded = False
        self.delivered = anyio.Event()
        self.delivered.set()

    def strand(self) -> None:
        """Break the caller's end; hold what it has sent."""
        self.stranded = True
        self.delivered = anyio.Event()
        transport_socket = self.caller.extra(SocketAttribute.raw_socket)
        try:
            transport_socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            _log.debug('a caller left before: %s', error)


class Relay:
    """Passes TCP connections on to a target; ``relaying`` opens it."""

    def __init__(self, target_ip: str, target_port: int) -> None:
        """Build a closed relay inside a running event loop.

        :param target_ip: the IP number of the target.
        :param target_port: its port.
        """
        self.delay_seconds: float = 0
        self.port = 0
        self._target = (target_ip, target_port)
        self._dropped: set[Direction] = set()
        self._lines: set[_Line] = set()
        self._flowing = anyio.Event()
        self._flowing.set()
        self._serving = anyio.CancelScope()
        self._opened = anyio.Event()
        self._closed = anyio.Event()
        self._restored = anyio.Event()

    async def cut(self) -> None:
        """Close all connections and refuse others; return when it is so."""
        self._serving.cancel()
        await self._closed.wait()

    async def restore(self) -> None:
        """Take connections again after a cut; return when it is so."""
        self._restored.set()
        await self._opened.wait()

    def freeze(self) -> None:
        """Hold all bytes both ways; connections stay open."""
        if self._flowing.is_set():
            self._flowing = anyio.Event()

    def thaw(self) -> None:
        """Let the held bytes go on."""
        self._flowing.set()

    def strand(self) -> None:
        """Break all connections towards their callers alone.

        What the callers have sent stays on its way, as packets do that are
        delayed in a network, and arrives after ``deliver``; its target never
        learns that the sender is gone.
        """
        for line in self._lines:
            line.strand()

    def deliver(self) -> None:
        """Let the bytes of stranded connections arrive."""
        for line in self._lines:
            line.delivered.set()

    def drop(self, direction: Direction) -> None:
        """Lose what goes this way from now on."""
        self._dropped.add(direction)

    def stop_dropping(self) -> None:
        """Lose nothing more."""
        self._dropped.clear()

    async def serve(
        self,
        ip: str,
        port: int,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay until cancelled, through cuts.

        :param ip: an IP number to listen at.
        :param port: 0 lets the system choose; a cut keeps the choice.
        :param task_status: told when the port is open.
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
            await listener.serve(self._link)

    async def _link(self, caller: SocketStream) -> None:
        line = _Line(caller)
        self._lines.add(line)
        try:
            await self._connect(line)
        finally:
            self._lines.discard(line)

    async def _connect(self, line: _Line) -> None:
        caller = line.caller
        await self._flowing.wait()
        await line.delivered.wait()
        try:
            target = await anyio.connect_tcp(*self._target)
        except OSError as error:
            _log.debug('target refused: %s', error)
            await caller.aclose()
            return
        async with caller, target:
            await self._pump_both(line, target)

    async def _pump_both(
        self,
        line: _Line,
        target: SocketStream,
    ) -> None:
        caller = line.caller
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._pump,
                    line,
                    caller,
                    target,
                    Direction.TO_TARGET,
                )
                await self._pump(line, target, caller, Direction.TO_CALLER)
        except* anyio.BrokenResourceError:
            _log.debug('a peer reset its connection')

    async def _pump(
        self,
        line: _Line,
        source: SocketStream,
        sink: SocketStream,
        direction: Direction,
    ) -> None:
        sender, receiver = anyio.create_memory_object_stream[_Delivery](
            _BUFFERED_CHUNKS,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read, source, sender)
            await self._write(line, receiver, sink, direction)

    async def _read(
        self,
        source: SocketStream,
        sender: MemoryObjectSendStream[_Delivery],
    ) -> None:
        async with sender:
            async for chunk in source:
                await sender.send(self._delivery(chunk))
            await sender.send(self._delivery(_END))

    async def _write(
        self,
        line: _Line,
        receiver: MemoryObjectReceiveStream[_Delivery],
        sink: SocketStream,
        direction: Direction,
    ) -> None:
        async with receiver:
            async for delivery in receiver:
                await anyio.sleep_until(delivery.due_seconds)
                await self._flowing.wait()
                await line.delivered.wait()
                if self._loses(line, direction, delivery):
                    continue
                if delivery.chunk == _END:
                    await sink.send_eof()
                else:
                    await sink.send(delivery.chunk)

    def _loses(
        self,
        line: _Line,
        direction: Direction,
        delivery: _Delivery,
    ) -> bool:
        ends = delivery.chunk == _END
        return direction in self._dropped or (line.stranded and ends)

    def _delivery(self, chunk: bytes) -> _Delivery:
        return _Delivery(anyio.current_time() + self.delay_seconds, chunk)


@asynccontextmanager
async def relaying(
    target_ip: str,
    target_port: int,
    *,
    ip: str = '127.0.0.1',
    port: int = 0,
) -> AsyncIterator[Relay]:
    """Run a relay while the context lasts.

    :param target_ip: the IP number of the target.
    :param target_port: its port.
    :param ip: an IP number to listen at.
    :param port: 0 lets the system choose.
    :return: the open relay.
    """
    relay = Relay(target_ip, target_port)
    async with anyio.create_task_group() as tasks:
        await tasks.start(relay.serve, ip, port)
        try:
            yield relay
        finally:
            tasks.cancel_scope.cancel()
