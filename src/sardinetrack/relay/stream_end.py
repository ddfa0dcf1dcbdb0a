"""Waits that depend on the end of a server's stream."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from sardinetrack.relay.attempt import SendOutcome, ServerAttempt
from sardinetrack.relay.flow_control import FlowControl
from sardinetrack.relay.stream_move import MoveEvent


class StreamEndedError(Exception):
    """The stream has ended while something else was waited for."""


class UntilStreamEnds:
    """Interrupts a block when an attempt ends.

    Leaving it then raises :class:`StreamEndedError`.
    """

    def __init__(self, attempt: ServerAttempt) -> None:
        """Watch an attempt during the block."""
        self._done = attempt.done
        self._scope = asyncio.timeout(None)
        self._entered = False

    async def __aenter__(self) -> Self:
        """Begin the block."""
        await self._scope.__aenter__()
        self._entered = True
        self._done.add_done_callback(self._interrupt)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the block."""
        self._entered = False
        self._done.remove_done_callback(self._interrupt)
        try:
            await self._scope.__aexit__(kind, error, trace)
        except TimeoutError as interrupted:
            raise StreamEndedError from interrupted

    def _interrupt(self, _: object) -> None:
        # The callback of an end in the last moment comes after the block.
        if self._entered:
            self._scope.reschedule(asyncio.get_running_loop().time())


async def ends_within(
    attempt: ServerAttempt,
    flow: FlowControl,
    seconds: float,
    longest_seconds: float,
) -> bool:
    """Wait for the end of an attempt, longer while the caller reads slowly.

    :param seconds: for which the server is read.
    :param longest_seconds: altogether.
    :return: whether it has ended.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not attempt.done.done():
        now = loop.time()
        reading_since = max(began, flow.resumed_seconds)
        if flow.paused:
            reading_since = now
        due = min(reading_since + seconds, began + longest_seconds)
        if due <= now:
            return False
        await asyncio.wait({attempt.done}, timeout=due - now)
    return True


def stream_end(attempt: ServerAttempt) -> MoveEvent:
    """Return how the stream of an attempt has ended."""
    if attempt.done.result() is SendOutcome.DELIVERED:
        return MoveEvent.STREAM_COMPLETE
    return MoveEvent.STREAM_BROKEN
