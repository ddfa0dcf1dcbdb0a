"""An HTTP protocol that doesn't close a connection with a request arriving."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from sardinetrack.http.sockets import (
    FINAL_REQUEST_WAIT_SECONDS,
    has_unread_data,
)

_RECHECK_SECONDS: Final = 0.05


class GracefulCloseProtocol(HttpToolsProtocol):
    """Closes gracefully at shutdown and after the keep-alive timeout.

    uvicorn's protocol closes a connection immediately if no request is in
    progress. A client that has connected or sent a request by then would find
    the connection closed without a response, and could not know whether its
    request has run.
    """

    def __init__(self, *positional: Any, **named: Any) -> None:
        """Build a protocol as uvicorn does."""
        super().__init__(*positional, **named)
        self._shutting_down = False
        self._receiving_header = False
        self._close_timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer of a closed connection."""
        self._cancel_close()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Record that a request has begun to arrive."""
        super().on_message_begin()
        self._receiving_header = True

    def on_headers_complete(self) -> None:
        """Start a request; it is the last one during a shutdown."""
        self._receiving_header = False
        self._cancel_close()
        super().on_headers_complete()
        if self._shutting_down and self.cycle is not None:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Wait for the next request; only briefly during a shutdown."""
        super().on_response_complete()
        if self._shutting_down and self.has_no_request:
            self._schedule_close()

    def shutdown(self) -> None:
        """Close, but respond to a request that is on its way.

        A response that has begun may have promised to keep the connection
        open, so the connection stays open after it like an idle one.
        """
        self._shutting_down = True
        if self.has_no_request:
            self._schedule_close()
        elif not self.cycle.response_started:
            self.cycle.keep_alive = False

    def close_idle(self) -> bool:
        """Close the connection unless it has data that is not read yet.

        An incomplete header that was read does not keep a connection open:
        clients that send one on thousands of connections would lock out all
        others.

        :return: whether it is closed.
        """
        if has_unread_data(self.transport):
            return False
        if self.transport.get_write_buffer_size():
            # A client that does not read its last response would keep the
            # connection open indefinitely.
            self.transport.abort()
        self.transport.close()
        return True

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection whose keep-alive timeout has passed."""
        self.close_idle()

    @property
    def has_no_request(self) -> bool:
        """Whether no request is in progress."""
        return self.cycle is None or self.cycle.response_complete

    @property
    def _request_arriving(self) -> bool:
        """Whether a request has begun to arrive."""
        return self._receiving_header or has_unread_data(self.transport)

    def _schedule_close(
        self, seconds: float = FINAL_REQUEST_WAIT_SECONDS
    ) -> None:
        self._cancel_close()
        self._close_timer = self.loop.call_later(seconds, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.transport.is_closing() or not self.has_no_request:
            return
        if self._request_arriving:
            self._schedule_close(_RECHECK_SECONDS)
        else:
            self.transport.close()

    def _cancel_close(self) -> None:
        if self._close_timer is not None:
            self._close_timer.cancel()
            self._close_timer = None
