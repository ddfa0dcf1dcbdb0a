"""The small HTTP listener for the load balancer's health checks and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, cast

from sardinetrack.relay.error_response import status_line

Page = Callable[[], tuple[int, bytes]]
"""Returns status and body of one path."""

_MAX_HEAD_BYTES: Final = 8192


class StatusPageConnection(asyncio.Protocol):
    """Responds to GET requests for a few fixed pages."""

    def __init__(self, pages: dict[bytes, Page]) -> None:
        """Serve pages.

        :param pages: the pages by path.
        """
        self._pages = pages
        self._transport: asyncio.Transport | None = None
        self._rest = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Respond to a complete request head; close if more is sent ahead.

        A page takes milliseconds, and a piece may hold thousands of requests.
        """
        head, end, rest = (self._rest + data).partition(b'\r\n\r\n')
        if end:
            self._rest = b''
            self._answer(head)
        else:
            self._rest = head
            rest = head[_MAX_HEAD_BYTES:]
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size():
            # Nobody reads the pages.
            transport.abort()
        elif rest:
            transport.close()

    def _answer(self, head: bytes) -> None:
        words = head.split(b' ', 2)
        path = words[1].partition(b'?')[0] if len(words) > 1 else b''
        page = self._pages.get(path)
        status, body = (HTTPStatus.NOT_FOUND, b'') if page is None else page()
        if self._transport is not None:
            self._transport.write(
                b'%bcontent-length: %d\r\n\r\n%b'
                % (status_line(status), len(body), body),
            )


def readiness_page(*, ready: bool) -> tuple[int, bytes]:
    """Return status and body of the load balancer's health check."""
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    return status, b''
