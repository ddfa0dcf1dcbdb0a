"""A link over an open WebSocket: outbox, heartbeat, delivery of events."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

import anyio

from sardinetrack.links.api import (
    Hello,
    Link,
    LinkDown,
    LinkEvents,
    LinkLimits,
    LinkMessageReceived,
    LinkUp,
)
from sardinetrack.links.frames import FrameSocket, LinkLostError
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.api import LinkMessage
from sardinetrack.messages.codec import decode, encode
from sardinetrack.messages.json_input import UnreadableError

_LOG: Final = ComponentLogger(LogComponent.LINK)
_HEARTBEAT: Final = b''
_DOWN_EVENT_TIMEOUT_SECONDS: Final = 1.0


class FrameLink(Link):
    """A link whose frames each hold one or more messages, one per line.

    Messages posted in one iteration of the event loop share a frame: one write
    carries them all. The empty frame is a heartbeat.
    """

    def __init__(
        self,
        connection: FrameSocket,
        peer: Hello,
        bounds: LinkLimits,
    ) -> None:
        """Wrap an open connection; ``run`` sends and receives."""
        self._connection = connection
        self._peer = peer
        self._bounds = bounds
        streams = anyio.create_memory_object_stream[bytes](
            bounds.outbox_messages,
        )
        self._outbox_sender = streams[0]
        self._outbox_receiver = streams[1]
        self._scope = anyio.CancelScope()
        self._sent_at = anyio.current_time()
        self._received_at = self._sent_at

    @property
    def peer(self) -> Hello:
        """The process at the other end."""
        return self._peer

    def post(self, message: LinkMessage) -> None:
        """Queue a message; a full outbox closes the link."""
        self.post_encoded(encode(message))

    def post_encoded(self, text: bytes) -> None:
        """Queue an encoded message; a full outbox closes the link."""
        if len(text) > self._bounds.max_frame_bytes:
            _LOG.error(
                'message is too large, dropped', peer=self._peer.instance
            )
            return
        try:
            self._outbox_sender.send_nowait(text)
        except anyio.WouldBlock:
            _LOG.warning(
                'outbox is full, closing the link',
                peer=self._peer.instance,
            )
            self.close()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            _LOG.debug(
                'link is closed, message dropped',
                peer=self._peer.instance,
            )

    async def messages(self) -> AsyncIterator[LinkMessage]:
        """Yield messages until the link closes."""
        while True:
            try:
                batch = await self._receive_batch()
            except LinkLostError:
                return
            except UnreadableError as error:
                _LOG.warning(
                    'invalid frame, closing the link',
                    peer=self._peer.instance,
                    error=str(error),
                )
                return
            for message in batch:
                yield message

    def close(self) -> None:
        """Close immediately."""
        self._scope.cancel()

    async def run(self, events: LinkEvents) -> None:
        """Send and receive until the link closes.

        :param events: receives the up, message and down events.
        """
        _LOG.info('up', peer=self._peer.instance)
        try:
            with self._scope:
                await self._exchange_messages(events)
        finally:
            self._close_connection()
            await self._send_down_event(events)

    async def _exchange_messages(self, events: LinkEvents) -> None:
        await events.send(LinkUp(self))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_posted)
            tasks.start_soon(self._monitor_heartbeats)
            async for message in self.messages():
                await events.send(LinkMessageReceived(self, message))
            self.close()

    def _close_connection(self) -> None:
        self._outbox_sender.close()
        self._outbox_receiver.close()
        self._connection.abort()
        _LOG.info('down', peer=self._peer.instance)

    async def _send_down_event(self, events: LinkEvents) -> None:
        # Shielded: an owner that misses the event would keep the bids and
        # grants of a disconnected peer. With a timeout: the owner may have
        # stopped itself.
        with anyio.move_on_after(_DOWN_EVENT_TIMEOUT_SECONDS, shield=True):
            try:
                await events.send(LinkDown(self))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                _LOG.debug('the owner has stopped, down event dropped')

    async def _receive_batch(self) -> list[LinkMessage]:
        frame = await self._connection.receive()
        self._received_at = anyio.current_time()
        if len(frame) > self._bounds.max_frame_bytes:
            raise UnreadableError('the frame is too large')
        return [decode(line) for line in frame.splitlines()]

    async def _send_posted(self) -> None:
        try:
            async for text in self._outbox_receiver:
                await self._connection.send(self._join_queued(text))
                self._sent_at = anyio.current_time()
        except LinkLostError:
            self.close()

    def _join_queued(self, first: bytes) -> bytes:
        lines = [first]
        size_bytes = len(first)
        limit_bytes = self._bounds.max_frame_bytes // 2
        waiting = self._outbox_receiver.statistics().current_buffer_used
        while waiting and size_bytes < limit_bytes:
            lines.append(self._outbox_receiver.receive_nowait())
            size_bytes += len(lines[-1]) + 1
            waiting -= 1
        return b'\n'.join(line for line in lines if line)

    async def _monitor_heartbeats(self) -> None:
        # A frozen peer, or a network failure without a reset, leaves the
        # connection open and silent; the owner would wait for minutes. Each
        # end sends at least one frame per heartbeat interval, so silence can
        # only mean one of the two.
        while True:
            now = anyio.current_time()
            timeout_at = (
                self._received_at + self._bounds.heartbeat_timeout_seconds
            )
            heartbeat_at = (
                self._sent_at + self._bounds.heartbeat_interval_seconds
            )
            if now >= timeout_at:
                _LOG.warning(
                    'heartbeat timeout, closing the link',
                    peer=self._peer.instance,
                )
                self.close()
                return
            if now >= heartbeat_at:
                self._sent_at = now
                self.post_encoded(_HEARTBEAT)
                heartbeat_at = now + self._bounds.heartbeat_interval_seconds
            await anyio.sleep(min(timeout_at, heartbeat_at) - now)
