"""Sends a response to a caller and watches for the caller's disconnect."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from sardinetrack.entry.headers import HeaderList
from sardinetrack.errors.api import RequestError
from sardinetrack.http.asgi import ClientDisconnectedError, HttpExchange

TRANSPORT_STATE: Final = 'sardinetrack.transport'
"""Key of the connection's transport in the ASGI scope's state."""
_MIN_BYTES_PER_SECOND: Final = 16_384


class Caller:
    """Writes one response to a caller, within time limits.

    A caller may block sends for ``send_seconds`` in total, plus the time that
    the bytes take at a minimum rate. With a limit on each write alone, a caller
    that reads one byte at a time could occupy a server's slot for hours.
    """

    def __init__(self, exchange: HttpExchange, send_seconds: float) -> None:
        """Wrap an HTTP exchange whose request body has been read.

        :param exchange: the request, and where its response is written.
        :param send_seconds: how long the caller may block sends in total.
        """
        self._exchange = exchange
        self._max_allowance_seconds = send_seconds
        self._allowance_seconds = send_seconds
        self.started = False
        self.finished = False
        self.is_truncated = False
        self.disconnected = False

    async def begin(self, status: int, headers: HeaderList) -> None:
        """Send status and headers."""
        self.started = True
        await self._send_within_limit(self._exchange.start(status, headers), 0)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self._send_within_limit(self._exchange.write(chunk), len(chunk))

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last chunk, which completes the response."""
        self.finished = True
        await self._send_within_limit(self._exchange.finish(chunk), len(chunk))

    async def wait_disconnected(self) -> None:
        """Return if the caller disconnects before its response is complete."""
        await self._exchange.wait_for_disconnect()
        if self.finished or self.is_truncated:
            await anyio.sleep_forever()
        self.disconnected = True

    async def truncate(self, last: bytes) -> None:
        """Truncate a response that has started.

        The connection is closed without the end marker of the HTTP framing, so
        no client takes the response for complete.

        :param last: an error in the response's own format, or empty.
        """
        self.is_truncated = True
        if last:
            await self.write(last)
        transport = self._transport()
        if transport is not None:
            transport.close()

    def abort_connection(self) -> None:
        """Abort the connection; unsent data is lost."""
        self.disconnected = True
        transport = self._transport()
        if transport is not None:
            transport.abort()

    def _transport(self) -> asyncio.Transport | None:
        state = self._exchange.scope.get('state', {})
        found: asyncio.Transport | None = state.get(TRANSPORT_STATE)
        return found

    def _write_buffer_empty(self) -> bool:
        # A write with an empty buffer never blocks, so a typical token needs
        # no timer.
        transport = self._transport()
        return transport is not None and not transport.get_write_buffer_size()

    async def _send_within_limit(
        self, sending: Awaitable[None], size: int
    ) -> None:
        if self._write_buffer_empty():
            await sending
            return
        began = anyio.current_time()
        allowed_seconds = self._allowance_seconds + size / _MIN_BYTES_PER_SECOND
        try:
            with anyio.fail_after(allowed_seconds):
                await sending
        except TimeoutError as error:
            self.abort_connection()
            raise ClientDisconnectedError from error
        remaining_seconds = allowed_seconds - (anyio.current_time() - began)
        self._allowance_seconds = min(
            remaining_seconds, self._max_allowance_seconds
        )


async def run_until_disconnected(
    caller: Caller,
    job: Callable[[], Awaitable[None]],
) -> None:
    """Run a job and cancel it when the caller disconnects.

    :param caller: the caller that the job responds to.
    :param job: the coroutine function to run.
    :raises RequestError: raised by the job.
    :raises ClientDisconnectedError: the caller disconnected first.
    """
    failure: RequestError | ClientDisconnectedError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, caller, tasks.cancel_scope)
        try:
            await job()
        except (RequestError, ClientDisconnectedError) as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if caller.disconnected:
        raise ClientDisconnectedError


async def _cancel_on_disconnect(
    caller: Caller, scope: anyio.CancelScope
) -> None:
    await caller.wait_disconnected()
    scope.cancel()
