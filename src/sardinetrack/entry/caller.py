"""The caller's end of an exchange: begin, pieces, end, vanishing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from sardinetrack.entry.headers import Pairs
from sardinetrack.errors.api import AnsweredError
from sardinetrack.http.asgi import CallerGoneError, Exchange

TRANSPORT_STATE: Final = 'sardinetrack.transport'
"""Where the protocol leaves its transport in the scope's state."""
_LEAST_RATE_BYTES: Final = 16_384


class Caller:
    """Writes one answer to a caller, within bounds of time.

    A caller may block our sending for ``send_seconds`` in all, and longer by
    what its bytes take at a least rate. A bound on each write alone would let
    a reader that takes a byte at a time hold a server's slot for hours.
    """

    def __init__(self, exchange: Exchange, send_seconds: float) -> None:
        """Wrap an exchange whose body has been read."""
        self._exchange = exchange
        self._longest_seconds = send_seconds
        self._patience_seconds = send_seconds
        self.started = False
        self.finished = False
        self.is_cut = False
        self.vanished = False

    async def begin(self, status: int, headers: Pairs) -> None:
        """Send status and headers."""
        self.started = True
        await self._bounded(self._exchange.start(status, headers), 0)

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body."""
        await self._bounded(self._exchange.write(chunk), len(chunk))

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last piece; the answer is whole."""
        self.finished = True
        await self._bounded(self._exchange.finish(chunk), len(chunk))

    async def gone(self) -> None:
        """Return when the caller closes before its answer is whole."""
        await self._exchange.gone()
        if self.finished or self.is_cut:
            await anyio.sleep_forever()
        self.vanished = True

    async def cut(self, last: bytes) -> None:
        """Break an answer off that has begun.

        Without the terminal of its framing no client takes it for whole.

        :param last: an error in the answer's own protocol, or nothing.
        """
        self.is_cut = True
        if last:
            await self.write(last)
        transport = self._transport()
        if transport is not None:
            transport.close()

    def drop(self) -> None:
        """Cut the connection at once; what is not sent yet is lost."""
        self.vanished = True
        transport = self._transport()
        if transport is not None:
            transport.abort()

    def _transport(self) -> asyncio.Transport | None:
        state = self._exchange.scope.get('state', {})
        found: asyncio.Transport | None = state.get(TRANSPORT_STATE)
        return found

    def _takes_at_once(self) -> bool:
        # With nothing left to send the server never waits, so that the usual
        # token needs no timer.
        transport = self._transport()
        return transport is not None and not transport.get_write_buffer_size()

    async def _bounded(self, sending: Awaitable[None], size: int) -> None:
        if self._takes_at_once():
            await sending
            return
        began = anyio.current_time()
        allowed = self._patience_seconds + size / _LEAST_RATE_BYTES
        try:
            with anyio.fail_after(allowed):
                await sending
        except TimeoutError as error:
            self.drop()
            raise CallerGoneError from error
        left = allowed - (anyio.current_time() - began)
        self._patience_seconds = min(left, self._longest_seconds)


async def run_until_gone(
    caller: Caller,
    job: Callable[[], Awaitable[None]],
) -> None:
    """Run a job and cancel it when the caller vanishes.

    :param caller: the caller that the job answers.
    :param job: what to run.
    :raises AnsweredError: the job raised it.
    :raises CallerGoneError: the caller vanished first.
    """
    failure: AnsweredError | CallerGoneError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_when_gone, caller, tasks.cancel_scope)
        try:
            await job()
        except (AnsweredError, CallerGoneError) as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if caller.vanished:
        raise CallerGoneError


async def _cancel_when_gone(caller: Caller, scope: anyio.CancelScope) -> None:
    await caller.gone()
    scope.cancel()
