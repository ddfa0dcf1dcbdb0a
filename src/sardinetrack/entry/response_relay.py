"""Relays the response of a side to its caller."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Final

import anyio

from sardinetrack.catalogue.api import PoolClass
from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller
from sardinetrack.entry.error_responses import REQUEST_ID_HEADER
from sardinetrack.entry.headers import HeaderList, response_headers_to_forward
from sardinetrack.entry.meters import Meter
from sardinetrack.http.client import ConnectionBrokenError
from sardinetrack.links.run_response import RunResponse

_MAX_BUFFERED_BYTES: Final = 262_144
_PROGRESS_SECONDS: Final = 0.5
_LENGTH: Final = 'content-length'
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ResponseRelay:
    """Relays one response; ``run`` returns only when it is complete.

    A short response is buffered until it is complete, so that one that breaks
    can be retried on another side, or gets an error response instead of a
    closed connection.
    """

    def __init__(
        self,
        call: Call,
        caller: Caller,
        meter: Meter,
        on_progress: Callable[[float], None],
    ) -> None:
        """Set what is relayed.

        :param call: the request.
        :param caller: receives the response.
        :param meter: computes the cost of the response while it is relayed.
        :param on_progress: called at intervals with the cost so far.
        """
        self._call = call
        self._caller = caller
        self._meter = meter
        self._on_progress = on_progress
        self._reported_at = anyio.current_time()
        self.received_at = self._reported_at
        """When data last arrived from the side, for detecting a stalled
        connection."""

    async def run(self, response: RunResponse) -> None:
        """Relay the response.

        :raises ConnectionBrokenError: it ended before it was complete.
        """
        headers = response_headers_to_forward(response.headers)
        headers.append((REQUEST_ID_HEADER, self._call.external_request_id))
        if self._meter.needs_terminal:
            await self._relay_events(response, headers)
        elif self._can_buffer(response):
            await self._relay_buffered(response, headers)
        else:
            await self._relay_chunks(response, headers)

    async def _relay_events(
        self, response: RunResponse, headers: HeaderList
    ) -> None:
        headers = _without_length(headers)
        async for chunk in self._chunks_until_terminal(response):
            await self._forward(
                response.status, headers, self._meter.feed(chunk)
            )
            self._report_progress()
        remainder = self._meter.remainder()
        if not self._meter.has_terminal:
            raise ConnectionBrokenError('the stream ended without [DONE]')
        await self._forward(response.status, headers, remainder)
        await self._caller.finish()

    async def _chunks_until_terminal(
        self,
        response: RunResponse,
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._received_chunks(response):
                yield chunk
        except ConnectionBrokenError:
            if not self._meter.has_terminal:
                raise

    async def _received_chunks(
        self, response: RunResponse
    ) -> AsyncIterator[bytes]:
        async for chunk in response.chunks():
            self.received_at = anyio.current_time()
            yield chunk

    async def _forward(
        self, status: int, headers: HeaderList, ready: bytes
    ) -> None:
        if not ready:
            return
        if not self._caller.started:
            await self._caller.begin(status, headers)
        await self._caller.write(ready)

    async def _relay_buffered(
        self, response: RunResponse, headers: HeaderList
    ) -> None:
        buffered = bytearray()
        async for chunk in self._received_chunks(response):
            buffered += self._meter.feed(chunk)
            if len(buffered) > _MAX_BUFFERED_BYTES:
                await self._forward(response.status, headers, bytes(buffered))
                buffered.clear()
        if not self._caller.started:
            headers = _with_length(
                headers, response.status, self._call, len(buffered)
            )
            await self._caller.begin(response.status, headers)
        await self._caller.finish(bytes(buffered))

    async def _relay_chunks(
        self, response: RunResponse, headers: HeaderList
    ) -> None:
        await self._caller.begin(response.status, headers)
        async for chunk in self._received_chunks(response):
            await self._caller.write(self._meter.feed(chunk))
            self._report_progress()
        await self._caller.finish()

    def _can_buffer(self, response: RunResponse) -> bool:
        if self._call.pool.pool_class is PoolClass.MODEL:
            return True
        if response.status in _BODILESS or self._call.method == 'HEAD':
            return True
        size = response.header(_LENGTH) or ''
        return size.isdecimal() and int(size) <= _MAX_BUFFERED_BYTES

    def _report_progress(self) -> None:
        now = anyio.current_time()
        if now - self._reported_at >= _PROGRESS_SECONDS:
            self._reported_at = now
            self._on_progress(self._meter.cost())


def _without_length(headers: HeaderList) -> HeaderList:
    return [pair for pair in headers if pair[0] != _LENGTH]


def _with_length(
    headers: HeaderList, status: int, call: Call, size: int
) -> HeaderList:
    if call.method == 'HEAD':
        return headers
    with_length = _without_length(headers)
    if status not in _BODILESS:
        with_length.append((_LENGTH, str(size)))
    return with_length
