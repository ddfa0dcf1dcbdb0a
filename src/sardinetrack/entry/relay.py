"""Pass an answer from a side on to its caller."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Final

import anyio

from sardinetrack.catalogue.api import PoolClass
from sardinetrack.entry.answers import REQUEST_ID_HEADER
from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller
from sardinetrack.entry.headers import Pairs, forwarded_answer
from sardinetrack.entry.meters import Meter
from sardinetrack.http.client import BrokenError
from sardinetrack.links.run_reply import RunReply

_MOST_HELD_BYTES: Final = 262_144
_PROGRESS_SECONDS: Final = 0.5
_LENGTH: Final = 'content-length'
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class Relay:
    """Relays one answer; ``run`` returns only when it is whole.

    A short answer is held until it is whole, so that one which breaks can be
    tried again elsewhere or gets a clear error instead of a cut connection.
    """

    def __init__(
        self,
        call: Call,
        caller: Caller,
        meter: Meter,
        on_progress: Callable[[float], None],
    ) -> None:
        """Prepare the relay.

        :param meter: reads along.
        :param on_progress: told the cost so far, now and then.
        """
        self._call = call
        self._caller = caller
        self._meter = meter
        self._on_progress = on_progress
        self._told_at = anyio.current_time()
        self.heard_at = self._told_at
        """When the side was last heard, for a watch over its silence."""

    async def run(self, reply: RunReply) -> None:
        """Relay the answer.

        :raises BrokenError: it ended before it was whole.
        """
        headers = forwarded_answer(reply.headers)
        headers.append((REQUEST_ID_HEADER, self._call.caller_id))
        if self._meter.needs_terminal:
            await self._relay_events(reply, headers)
        elif self._may_hold(reply):
            await self._relay_held(reply, headers)
        else:
            await self._relay_pieces(reply, headers)

    async def _relay_events(self, reply: RunReply, headers: Pairs) -> None:
        headers = _without_length(headers)
        async for chunk in self._until_terminal(reply):
            await self._pass_on(reply.status, headers, self._meter.feed(chunk))
            self._tell_progress()
        rest = self._meter.rest()
        if not self._meter.has_terminal:
            raise BrokenError('the stream ended without its terminal')
        await self._pass_on(reply.status, headers, rest)
        await self._caller.finish()

    async def _until_terminal(
        self,
        reply: RunReply,
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._heard(reply):
                yield chunk
        except BrokenError:
            if not self._meter.has_terminal:
                raise

    async def _heard(self, reply: RunReply) -> AsyncIterator[bytes]:
        async for chunk in reply.chunks():
            self.heard_at = anyio.current_time()
            yield chunk

    async def _pass_on(self, status: int, headers: Pairs, ready: bytes) -> None:
        if not ready:
            return
        if not self._caller.started:
            await self._caller.begin(status, headers)
        await self._caller.write(ready)

    async def _relay_held(self, reply: RunReply, headers: Pairs) -> None:
        held = bytearray()
        async for chunk in self._heard(reply):
            held += self._meter.feed(chunk)
            if len(held) > _MOST_HELD_BYTES:
                await self._pass_on(reply.status, headers, bytes(held))
                held.clear()
        if not self._caller.started:
            headers = _framed(headers, reply.status, self._call, len(held))
            await self._caller.begin(reply.status, headers)
        await self._caller.finish(bytes(held))

    async def _relay_pieces(self, reply: RunReply, headers: Pairs) -> None:
        await self._caller.begin(reply.status, headers)
        async for chunk in self._heard(reply):
            await self._caller.write(self._meter.feed(chunk))
            self._tell_progress()
        await self._caller.finish()

    def _may_hold(self, reply: RunReply) -> bool:
        if self._call.pool.pool_class is PoolClass.MODEL:
            return True
        if reply.status in _BODILESS or self._call.method == 'HEAD':
            return True
        size = reply.header(_LENGTH) or ''
        return size.isdecimal() and int(size) <= _MOST_HELD_BYTES

    def _tell_progress(self) -> None:
        now = anyio.current_time()
        if now - self._told_at >= _PROGRESS_SECONDS:
            self._told_at = now
            self._on_progress(self._meter.cost())


def _without_length(headers: Pairs) -> Pairs:
    return [pair for pair in headers if pair[0] != _LENGTH]


def _framed(headers: Pairs, status: int, call: Call, size: int) -> Pairs:
    if call.method == 'HEAD':
        return headers
    framed = _without_length(headers)
    if status not in _BODILESS:
        framed.append((_LENGTH, str(size)))
    return framed
