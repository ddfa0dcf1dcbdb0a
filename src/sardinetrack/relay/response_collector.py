"""The response to one call of this process's own."""

from __future__ import annotations

import asyncio
from typing import Final

from sardinetrack.relay.byte_buffer import ByteBuffer
from sardinetrack.relay.response_sink import (
    BreakReason,
    ResponseEnd,
    ResponseSink,
)

MAX_BODY_BYTES: Final = 16_777_216


class ResponseCollector(ResponseSink):
    """Collects one response, whoever it is for: its caller knows no ids."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Collect nothing yet.

        :param max_body_bytes: what is longer is dropped.
        """
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[BreakReason | None] = loop.create_future()
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self._buffer = ByteBuffer()
        self._max_body_bytes = max_body_bytes

    @property
    def body(self) -> bytes:
        """The body, or its beginning if it is longer than the limit."""
        return bytes(self._buffer.content())

    def head_received(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        skippable: bool,
    ) -> bool:
        """Store the status and the headers."""
        self.status = status
        self.headers = headers
        return False

    def body_received(self, piece: bytes) -> None:
        """Append to the body."""
        if len(self._buffer) <= self._max_body_bytes:
            self._buffer.append(piece)

    def completed(self, end: ResponseEnd) -> None:
        """End with a complete response."""
        if not self.done.done():
            self.done.set_result(None)

    def interrupted(self, reason: BreakReason) -> None:
        """End with an incomplete one."""
        if not self.done.done():
            self.done.set_result(reason)
