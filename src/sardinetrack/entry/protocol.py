"""The HTTP protocol of the callers' listener: bounds on heads and idling."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, ClassVar, Final, cast

import httptools
import msgspec
from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from sardinetrack.entry.answers import error_document, error_headers
from sardinetrack.entry.caller import TRANSPORT_STATE
from sardinetrack.entry.heads import HeadBounds, check_head
from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.errors.table import answer_for
from sardinetrack.http.ending import EndingProtocol
from sardinetrack.http.idle import IdleConnections

_LATIN: Final = 'latin-1'
_VERSIONS: Final = frozenset(('1.0', '1.1'))
_END: Final = '\r\n'


class CallerProtocol(EndingProtocol):
    """Refuses heads that are too large, too slow or ambiguous."""

    bounds: ClassVar[HeadBounds]
    idle: ClassVar[IdleConnections]

    def __init__(self, *positional: Any, **named: Any) -> None:
        """Build a protocol as uvicorn does."""
        super().__init__(*positional, **named)
        self._head_bytes = 0
        self._heads_done = 0
        self._in_head = True
        self._in_body = False
        self._refused = False
        self._cause = AnsweredError(ErrorKind.BAD_REQUEST, 'no valid HTTP')
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override] # as uvicorn's own
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Find room for a connection."""
        super().connection_made(transport)
        self._start_timer(self.bounds.head_seconds, self._head_is_late)
        if self.idle.make_room(len(self.connections)):
            self.idle.add(self, self.close_idle)
        else:
            self._refuse(AnsweredError(ErrorKind.TOO_MANY_CONNECTIONS))

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._stop_timer()
        self.idle.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the head's bytes before and while parsing."""
        if self._refused:
            return
        if self._in_head and self._timer is None:
            self._start_timer(self.bounds.head_seconds, self._head_is_late)
        heads_done = self._heads_done
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(self._cause)
        if self._in_head and self._heads_done == heads_done:
            self._count_unfinished(len(data))

    def on_message_begin(self) -> None:
        """Start to count a head."""
        super().on_message_begin()
        self._head_bytes = 0
        self.scope['state'][TRANSPORT_STATE] = self.transport

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers after a body are dropped."""
        self._head_bytes += len(name) + len(value)
        self._checked(self._check_size)
        if self._in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the whole head, then start the request."""
        self._checked(self._check_head)
        self._heads_done += 1
        self._in_head = False
        self._in_body = True
        self._stop_timer()
        self.idle.remove(self)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Wait for the next head."""
        super().on_message_complete()
        self._in_head = True
        self._in_body = False
        self._stop_timer()
        if self.cycle.response_complete:
            self.idle.add(self, self.close_idle)

    def on_response_complete(self) -> None:
        """Throw the rest of the body away for a while, or wait idle."""
        super().on_response_complete()
        if self._in_body:
            # Closing at once would reset the connection and destroy the
            # answer before a caller that still sends has read it.
            self._start_timer(self.bounds.linger_seconds, self._abort)
        elif not self.pipeline:
            self.idle.add(self, self.close_idle)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, also one that doesn't read."""
        if self.transport.get_write_buffer_size():
            self._abort()
        super().timeout_keep_alive_handler()

    def _check_size(self) -> None:
        self.bounds.check_size(self._head_bytes, len(self.headers))

    def _check_head(self) -> None:
        if self.parser.should_upgrade():
            raise AnsweredError(ErrorKind.BAD_REQUEST, 'no upgrades here')
        if self.parser.get_http_version() not in _VERSIONS:
            raise AnsweredError(ErrorKind.BAD_REQUEST, 'use HTTP/1.1')
        check_head(self.headers)

    def _checked(self, check: Callable[[], None]) -> None:
        try:
            check()
        except AnsweredError as failure:
            self._cause = failure
            raise

    def _count_unfinished(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > 2 * self.bounds.max_bytes:
            self._refuse(AnsweredError(ErrorKind.HEADERS_TOO_LARGE))

    def _head_is_late(self) -> None:
        self._timer = None
        if self._busy:
            self._start_timer(self.bounds.head_seconds, self._head_is_late)
        elif self._head_bytes:
            self._refuse(
                AnsweredError(ErrorKind.BODY_TIMEOUT, 'the head is late'),
            )
        else:
            self._abort()

    @property
    def _busy(self) -> bool:
        """Whether an earlier request has not got its whole answer."""
        return not self.waits

    def _refuse(self, failure: AnsweredError) -> None:
        """Answer outside the application, then close."""
        if self._refused:
            return
        self._refused = True
        self._stop_timer()
        self.idle.remove(self)
        own_body = self._in_body and not self.cycle.response_started
        if self._busy and not own_body:
            # The caller would take this for the answer to the request before.
            self._abort()
            return
        if self._busy:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.transport.write(_refusal(failure))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._start_timer(self.bounds.linger_seconds, self._abort)

    def _abort(self) -> None:
        self.transport.abort()

    def _start_timer(
        self,
        seconds: float,
        action: Callable[[], None],
    ) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(seconds, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def caller_protocol(
    bounds: HeadBounds,
    max_connections: int,
) -> type[CallerProtocol]:
    """Make the protocol class of one listener.

    :param bounds: on each head.
    :param max_connections: on the listener.
    :return: a class for uvicorn to build.
    """
    idle = IdleConnections(max_connections)
    members = {'bounds': bounds, 'idle': idle}
    made = type('BoundCallerProtocol', (CallerProtocol,), members)
    return cast('type[CallerProtocol]', made)


def _refusal(failure: AnsweredError) -> bytes:
    body = msgspec.json.encode(error_document(failure))
    headers = [
        ('content-type', 'application/json'),
        ('content-length', str(len(body))),
        ('connection', 'close'),
        *error_headers(failure),
    ]
    lines = ''.join(f'{name}: {text}{_END}' for name, text in headers)
    status = STATUS_LINE[answer_for(failure.kind).status]
    return b'%b%b\r\n%b' % (status, lines.encode(_LATIN), body)
