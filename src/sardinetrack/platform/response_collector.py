"""The response to one call to the platform's store."""

from __future__ import annotations

import asyncio

from sardinetrack.relay.server_connection import BreakReason, ResponseSink


class ResponseCollector(ResponseSink):
    """Collects one response, whoever it is for; the store knows no ids."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[BreakReason | None] = loop.create_future()
        self.status = 0
        self.body = b''

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
        self.body += piece

    def completed(self) -> None:
        """End with a complete response."""
        if not self.done.done():
            self.done.set_result(None)

    def interrupted(self, reason: BreakReason) -> None:
        """End with an incomplete one."""
        if not self.done.done():
            self.done.set_result(reason)
