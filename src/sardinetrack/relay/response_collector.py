"""The response to one call of this process's own."""

from __future__ import annotations

import asyncio
import math

from sardinetrack.relay.server_connection import BreakReason, ResponseSink


class ResponseCollector(ResponseSink):
    """Collects one response, whoever it is for: its caller knows no ids."""

    def __init__(self, max_body_bytes: float = math.inf) -> None:
        """Collect nothing yet.

        :param max_body_bytes: what is longer is dropped.
        """
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[BreakReason | None] = loop.create_future()
        self.status = 0
        self.body = b''
        self._max_body_bytes = max_body_bytes

    def head_received(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        skippable: bool,
    ) -> bool:
        """Store the status."""
        self.status = status
        return False

    def body_received(self, piece: bytes) -> None:
        """Append to the body."""
        if len(self.body) <= self._max_body_bytes:
            self.body += piece

    def completed(self) -> None:
        """End with a complete response."""
        if not self.done.done():
            self.done.set_result(None)

    def interrupted(self, reason: BreakReason) -> None:
        """End with an incomplete one."""
        if not self.done.done():
            self.done.set_result(reason)
