"""An HTTP protocol that limits the resources which clients can occupy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, Final, cast

from sardinetrack.http.graceful_close import GracefulCloseProtocol
from sardinetrack.http.idle_connections import IdleConnections

_MAX_HEADER_BYTES: Final = 262_144
"""A run request's header holds the caller's headers and the entry's bids."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the connections of a server."""

    max_connections: int = 4096
    keep_alive_seconds: int = 60
    max_header_bytes: int = _MAX_HEADER_BYTES
    header_timeout_seconds: float = 10.0
    """Timeout of a header, from the connection's start or its first byte on."""
    linger_seconds: float = 2.0
    """How long the rest of a body is discarded after an early response."""


class GuardedProtocol(GracefulCloseProtocol):
    """Closes connections whose HTTP header is too large or too slow.

    uvicorn's protocol has no such limit: any client that reaches the port
    could fill the memory with one endless header, or lock the peers out with
    some thousands of connections that send nothing.
    """

    bounds: ClassVar[ServerLimits]
    idle: ClassVar[IdleConnections]

    def __init__(self, *positional: Any, **named: Any) -> None:
        """Build a protocol as uvicorn does."""
        super().__init__(*positional, **named)
        self._header_bytes = 0
        self._expects_header = True
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override] # as uvicorn's own
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Accept a connection; evict idle ones above the limit."""
        super().connection_made(transport)
        self.idle.evict_idle(len(self.connections))
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the idle ones."""
        self._leave_idle()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a header that is not complete."""
        if self._expects_header:
            self._header_bytes += len(data)
            if self._timer is None:
                self._start_timer(self.bounds.header_timeout_seconds)
        super().data_received(data)
        if (
            self._expects_header
            and self._header_bytes > self.bounds.max_header_bytes
        ):
            self.transport.abort()

    def on_headers_complete(self) -> None:
        """Start a request, or a link."""
        self._expects_header = False
        self._header_bytes = 0
        self._leave_idle()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Expect the next header."""
        super().on_message_complete()
        self._expects_header = True
        self._stop_timer()
        if self.cycle is not None and self.cycle.response_complete:
            self.idle.add(self, self.close_idle)

    def on_response_complete(self) -> None:
        """Discard the rest of the body for a limited time, or become idle."""
        super().on_response_complete()
        if not self._expects_header:
            self._start_timer(self.bounds.linger_seconds)
        elif not self.pipeline:
            self.idle.add(self, self.close_idle)

    def _start_header_timer(self) -> None:
        self.idle.add(self, self.close_idle)
        self._start_timer(self.bounds.header_timeout_seconds)

    def _leave_idle(self) -> None:
        self.idle.remove(self)
        self._stop_timer()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        abort: Callable[[], None] = self.transport.abort
        self._timer = self.loop.call_later(seconds, abort)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def guarded_protocol(bounds: ServerLimits) -> type[GuardedProtocol]:
    """Build the protocol class of one listener.

    :param bounds: limits of the listener.
    :return: a class for uvicorn to build.
    """
    idle = IdleConnections(bounds.max_connections - 1)
    members = {'bounds': bounds, 'idle': idle}
    protocol_class = type('BoundGuardedProtocol', (GuardedProtocol,), members)
    return cast('type[GuardedProtocol]', protocol_class)
