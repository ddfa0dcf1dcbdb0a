"""An HTTP protocol that bounds what strangers can make a listener hold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, Final, cast

from sardinetrack.http.ending import EndingProtocol
from sardinetrack.http.idle import IdleConnections

_MAX_HEAD_BYTES: Final = 262_144
"""An order's header holds the caller's headers and the entry's bids."""


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """What connections may make a server hold."""

    max_connections: int = 4096
    keep_alive_seconds: int = 60
    max_head_bytes: int = _MAX_HEAD_BYTES
    head_seconds: float = 10.0
    """From a connection's begin, or a head's first byte, to the head's end."""
    linger_seconds: float = 2.0
    """How long a body is thrown away after an early answer."""


class GuardedProtocol(EndingProtocol):
    """Closes connections whose head is too large or too slow.

    The server's own protocol has no such bound: whoever reaches the port
    could fill the memory with one header without an end, or lock the peers
    out by some thousands of connections that send nothing.
    """

    bounds: ClassVar[ServerBounds]
    idle: ClassVar[IdleConnections]

    def __init__(self, *positional: Any, **named: Any) -> None:
        """Build a protocol as uvicorn does."""
        super().__init__(*positional, **named)
        self._head_bytes = 0
        self._in_head = True
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override] # as uvicorn's own
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Find room for a connection."""
        super().connection_made(transport)
        self.idle.make_room(len(self.connections))
        self._wait_for_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._work()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a head that is not complete."""
        if self._in_head:
            self._head_bytes += len(data)
            if self._timer is None:
                self._start_timer(self.bounds.head_seconds)
        super().data_received(data)
        if self._in_head and self._head_bytes > self.bounds.max_head_bytes:
            self.transport.abort()

    def on_headers_complete(self) -> None:
        """Take up a request, or a link."""
        self._in_head = False
        self._head_bytes = 0
        self._work()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Expect the next head."""
        super().on_message_complete()
        self._in_head = True
        self._stop_timer()
        if self.cycle is not None and self.cycle.response_complete:
            self.idle.add(self, self.close_idle)

    def on_response_complete(self) -> None:
        """Throw the rest of the body away for a while, or wait idle."""
        super().on_response_complete()
        if not self._in_head:
            self._start_timer(self.bounds.linger_seconds)
        elif not self.pipeline:
            self.idle.add(self, self.close_idle)

    def _wait_for_head(self) -> None:
        self.idle.add(self, self.close_idle)
        self._start_timer(self.bounds.head_seconds)

    def _work(self) -> None:
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


def guarded_protocol(bounds: ServerBounds) -> type[GuardedProtocol]:
    """Make the protocol class of one listener.

    :param bounds: of the listener.
    :return: a class for uvicorn to build.
    """
    idle = IdleConnections(bounds.max_connections - 1)
    members = {'bounds': bounds, 'idle': idle}
    made = type('BoundGuardedProtocol', (GuardedProtocol,), members)
    return cast('type[GuardedProtocol]', made)
