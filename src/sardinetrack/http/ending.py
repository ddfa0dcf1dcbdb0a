"""An HTTP protocol that closes no connection with a request on its way."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from sardinetrack.http.sockets import LAST_REQUEST_SECONDS, has_unread

_LOOK_AGAIN_SECONDS: Final = 0.05


class EndingProtocol(HttpToolsProtocol):
    """Ends when its server does, and when it was idle for long.

    The server's own protocol closes a connection at once when no request is
    under way. A caller that has connected or sent a request by then would find
    the connection closed without an answer, and could not know whether its
    request has run.
    """

    def __init__(self, *positional: Any, **named: Any) -> None:
        """Build a protocol as uvicorn does."""
        super().__init__(*positional, **named)
        self._leaving = False
        self._in_part_of_head = False
        self._last_call: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._cancel_last_call()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Note that a request is on its way."""
        super().on_message_begin()
        self._in_part_of_head = True

    def on_headers_complete(self) -> None:
        """Take up a request; at the end it is the last one."""
        self._in_part_of_head = False
        self._cancel_last_call()
        super().on_headers_complete()
        if self._leaving and self.cycle is not None:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Wait for the next request; at the end only for a moment."""
        super().on_response_complete()
        if self._leaving and self.waits:
            self._wait_for_last()

    def shutdown(self) -> None:
        """Leave, but answer a request that is on its way.

        An answer that has begun may have promised to keep the connection, so
        the connection outlives it as if it had been idle.
        """
        self._leaving = True
        if self.waits:
            self._wait_for_last()
        elif not self.cycle.response_started:
            self.cycle.keep_alive = False

    def close_idle(self) -> bool:
        """Close the connection unless a request waits unread.

        Half a head protects no connection: whoever sends that much on
        thousands of them would keep everybody else out.

        :return: whether it is closed.
        """
        if has_unread(self.transport):
            return False
        if self.transport.get_write_buffer_size():
            # Whoever does not read its last answer would stay for good.
            self.transport.abort()
        self.transport.close()
        return True

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that was idle for long."""
        self.close_idle()

    @property
    def waits(self) -> bool:
        """Whether no request is under way."""
        return self.cycle is None or self.cycle.response_complete

    @property
    def _expects(self) -> bool:
        """Whether a request has begun to arrive."""
        return self._in_part_of_head or has_unread(self.transport)

    def _wait_for_last(self, seconds: float = LAST_REQUEST_SECONDS) -> None:
        self._cancel_last_call()
        self._last_call = self.loop.call_later(seconds, self._close_waiting)

    def _close_waiting(self) -> None:
        if self.transport.is_closing() or not self.waits:
            return
        if self._expects:
            self._wait_for_last(_LOOK_AGAIN_SECONDS)
        else:
            self.transport.close()

    def _cancel_last_call(self) -> None:
        if self._last_call is not None:
            self._last_call.cancel()
            self._last_call = None
