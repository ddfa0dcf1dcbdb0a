"""A kept HTTP connection to a model engine, for one request at a time."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from http import HTTPStatus
from typing import Final, cast

import httptools

MAX_BODY_BYTES: Final = 1_048_576
"""A report has some 40 bytes per running request; this is far above any."""


class PollOutcome(StrEnum):
    """How a poll of an engine ended."""

    REPORT = 'report'
    UNREADABLE = 'unreadable'
    """Neither HTTP, or no report in it, or too long."""
    STATUS = 'status'
    """A response with another status than 200."""
    CUT = 'cut'
    """The connection ended before the response did."""
    LATE = 'late'
    UNREACHABLE = 'unreachable'
    """No connection could be opened."""


class PollError(Exception):
    """A poll brought no report."""

    def __init__(self, outcome: PollOutcome, detail: str) -> None:
        """Store the outcome and a text for the log."""
        super().__init__(f'{outcome}: {detail}')
        self.outcome = outcome


class EngineConnection(asyncio.Protocol):
    """Sends a request and returns the body of its response."""

    def __init__(self) -> None:
        """Start without a transport."""
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[bytes] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._complete = False

    @property
    def usable(self) -> bool:
        """Whether a request can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    async def fetch(self, request: bytes) -> bytes:
        """Send a request and wait for the complete response.

        :raises PollError: there is none, or its status is not 200.
        """
        if self._transport is None or not self.usable:
            raise PollError(PollOutcome.CUT, 'the connection is closed')
        self._response = asyncio.get_running_loop().create_future()
        self._body.clear()
        self._complete = False
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(request)
        try:
            return await self._response
        finally:
            self._response = None
            if not self._complete:
                # The rest of the response would be read as the next one.
                self.abort()

    def abort(self) -> None:
        """Close immediately."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self._fail(PollOutcome.CUT, 'closed' if exc is None else repr(exc))

    def data_received(self, data: bytes) -> None:
        """Parse."""
        if self._response is None:
            # Bytes that belong to no request.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(PollOutcome.UNREADABLE, repr(error))
            self.abort()

    def on_message_begin(self) -> None:
        """Reject a second response to the same request."""
        if self._complete:
            raise ValueError('a response follows the one to the request')

    def on_body(self, piece: bytes) -> None:
        """Collect the body, up to the limit."""
        self._body += piece
        if len(self._body) > MAX_BODY_BYTES:
            raise ValueError('the response is too long')

    def on_message_complete(self) -> None:
        """Resolve the request in progress."""
        self._complete = True
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.abort()
        if status != HTTPStatus.OK:
            self._fail(PollOutcome.STATUS, str(status))
        elif self._response is not None and not self._response.done():
            self._response.set_result(bytes(self._body))

    def _fail(self, outcome: PollOutcome, detail: str) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(PollError(outcome, detail))
