"""A link over an open WebSocket: outbox, heartbeat, delivery of events."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

import anyio
import msgspec

from sardinetrack.links.api import (
    Hello,
    Link,
    LinkBounds,
    LinkDown,
    LinkEvents,
    LinkMessageReceived,
    LinkUp,
)
from sardinetrack.links.frames import FrameSocket, LinkLostError
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.api import LinkMessage
from sardinetrack.messages.codec import decode, encode

_LOG: Final = PartLogger(Part.LINK)
_BEAT: Final = b''
_LAST_EVENT_SECONDS: Final = 1.0


class FrameLink(Link):
    """A link whose frames each hold one or more messages, one a line.

    Messages posted in one turn of the event loop share a frame: one write
    carries them all. The empty frame is a heartbeat.
    """

    def __init__(
        self,
        connection: FrameSocket,
        peer: Hello,
        bounds: LinkBounds,
    ) -> None:
        """Wrap an open connection; ``run`` makes it work."""
        self._connection = connection
        self._peer = peer
        self._bounds = bounds
        streams = anyio.create_memory_object_stream[bytes](
            bounds.outbox_messages,
        )
        self._posted = streams[0]
        self._outbox = streams[1]
        self._scope = anyio.CancelScope()
        self._sent_at = anyio.current_time()
        self._heard_at = self._sent_at

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
            _LOG.error('message is too large', peer=self._peer.instance)
            return
        try:
            self._posted.send_nowait(text)
        except anyio.WouldBlock:
            _LOG.warning('outbox is full', peer=self._peer.instance)
            self.close()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            _LOG.debug('peer is gone, dropped', peer=self._peer.instance)

    async def messages(self) -> AsyncIterator[LinkMessage]:
        """Yield messages until the link closes."""
        while True:
            try:
                batch = await self._next_batch()
            except LinkLostError:
                return
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                _LOG.warning(
                    'bad frame',
                    peer=self._peer.instance,
                    error=str(error),
                )
                return
            for message in batch:
                yield message

    def close(self) -> None:
        """Close at once."""
        self._scope.cancel()

    async def run(self, events: LinkEvents) -> None:
        """Work until the link closes.

        :param events: where the up, message and down events go.
        """
        _LOG.info('up', peer=self._peer.instance)
        try:
            with self._scope:
                await self._work(events)
        finally:
            self._release()
            await self._tell_down(events)

    async def _work(self, events: LinkEvents) -> None:
        await events.send(LinkUp(self))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_posted)
            tasks.start_soon(self._watch)
            async for message in self.messages():
                await events.send(LinkMessageReceived(self, message))
            self.close()

    def _release(self) -> None:
        self._posted.close()
        self._outbox.close()
        self._connection.abort()
        _LOG.info('down', peer=self._peer.instance)

    async def _tell_down(self, events: LinkEvents) -> None:
        # Shielded: an owner that misses the event would keep bids and grants
        # of a peer that is gone. Bounded: the owner may be gone itself.
        with anyio.move_on_after(_LAST_EVENT_SECONDS, shield=True):
            try:
                await events.send(LinkDown(self))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                _LOG.debug('nobody listens any more')

    async def _next_batch(self) -> list[LinkMessage]:
        frame = await self._connection.receive()
        self._heard_at = anyio.current_time()
        if len(frame) > self._bounds.max_frame_bytes:
            raise msgspec.DecodeError('frame too large')
        return [decode(line) for line in frame.splitlines()]

    async def _send_posted(self) -> None:
        try:
            async for text in self._outbox:
                await self._connection.send(self._batch(text))
                self._sent_at = anyio.current_time()
        except LinkLostError:
            self.close()

    def _batch(self, first: bytes) -> bytes:
        lines = [first]
        size_bytes = len(first)
        limit_bytes = self._bounds.max_frame_bytes // 2
        waiting = self._outbox.statistics().current_buffer_used
        while waiting and size_bytes < limit_bytes:
            lines.append(self._outbox.receive_nowait())
            size_bytes += len(lines[-1]) + 1
            waiting -= 1
        return b'\n'.join(line for line in lines if line)

    async def _watch(self) -> None:
        # A frozen peer, or a cut without a reset, leaves the connection open
        # and silent; the owner would wait for it for minutes. Each end speaks
        # at least once a beat, so silence can only mean one of the two.
        while True:
            now = anyio.current_time()
            silent_at = self._heard_at + self._bounds.silence_seconds
            beat_at = self._sent_at + self._bounds.beat_seconds
            if now >= silent_at:
                _LOG.warning('peer is silent', peer=self._peer.instance)
                self.close()
                return
            if now >= beat_at:
                self._sent_at = now
                self.post_encoded(_BEAT)
                beat_at = now + self._bounds.beat_seconds
            await anyio.sleep(min(silent_at, beat_at) - now)
