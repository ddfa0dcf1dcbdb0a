"""The HTTP protocol of the callers' listener: head limits, idle timeouts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, ClassVar, Final, cast

import httptools
import msgspec
from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from sardinetrack.entry.caller import TRANSPORT_STATE
from sardinetrack.entry.error_responses import error_document, error_headers
from sardinetrack.entry.header_checks import HeaderLimits, check_head
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.errors.table import error_response_for
from sardinetrack.http.graceful_close import GracefulCloseProtocol
from sardinetrack.http.idle_connections import IdleConnections

_LATIN: Final = 'latin-1'
_VERSIONS: Final = frozenset(('1.0', '1.1'))
_CRLF: Final = '\r\n'


class CallerProtocol(GracefulCloseProtocol):
    """Rejects request heads that are too large, too slow or ambiguous."""

    bounds: ClassVar[HeaderLimits]
    idle: ClassVar[IdleConnections]

    def __init__(self, *positional: Any, **named: Any) -> None:
        """Pass uvicorn's arguments to its protocol."""
        super().__init__(*positional, **named)
        self._head_bytes = 0
        self._heads_done = 0
        self._in_head = True
        self._in_body = False
        self._rejected = False
        self._rejection = RequestError(
            ErrorKind.BAD_REQUEST, 'malformed HTTP request'
        )
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override] # as uvicorn's own
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Accept a connection, closing an idle one if the listener is full."""
        super().connection_made(transport)
        self._start_timer(
            self.bounds.header_timeout_seconds, self._on_head_timeout
        )
        if self.idle.evict_idle(len(self.connections)):
            self.idle.add(self, self.close_idle)
        else:
            self._reject(RequestError(ErrorKind.TOO_MANY_CONNECTIONS))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer and unregister the connection."""
        self._stop_timer()
        self.idle.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data and enforce the limits on the head's size and time."""
        if self._rejected:
            return
        if self._in_head and self._timer is None:
            self._start_timer(
                self.bounds.header_timeout_seconds, self._on_head_timeout
            )
        heads_done = self._heads_done
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(self._rejection)
        if self._in_head and self._heads_done == heads_done:
            self._count_incomplete_head(len(data))

    def on_message_begin(self) -> None:
        """Reset the size of the head."""
        super().on_message_begin()
        self._head_bytes = 0
        self.scope['state'][TRANSPORT_STATE] = self.transport

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after a body are dropped."""
        self._head_bytes += len(name) + len(value)
        self._run_check(self._check_size)
        if self._in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the complete head, then start the request."""
        self._run_check(self._check_head)
        self._heads_done += 1
        self._in_head = False
        self._in_body = True
        self._stop_timer()
        self.idle.remove(self)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Expect the next head."""
        super().on_message_complete()
        self._in_head = True
        self._in_body = False
        self._stop_timer()
        if self.cycle.response_complete:
            self.idle.add(self, self.close_idle)

    def on_response_complete(self) -> None:
        """Discard the rest of the body for a limited time, or become idle."""
        super().on_response_complete()
        if self._in_body:
            # An immediate close would reset the connection and discard the
            # response before a caller that is still sending has read it.
            self._start_timer(self.bounds.linger_seconds, self._abort)
        elif not self.pipeline:
            self.idle.add(self, self.close_idle)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, also one whose peer doesn't read."""
        if self.transport.get_write_buffer_size():
            self._abort()
        super().timeout_keep_alive_handler()

    def _check_size(self) -> None:
        self.bounds.check_size(self._head_bytes, len(self.headers))

    def _check_head(self) -> None:
        if self.parser.should_upgrade():
            raise RequestError(
                ErrorKind.BAD_REQUEST, 'protocol upgrades are not supported'
            )
        if self.parser.get_http_version() not in _VERSIONS:
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                'the HTTP version is not supported; use HTTP/1.1',
            )
        check_head(self.headers)

    def _run_check(self, check: Callable[[], None]) -> None:
        try:
            check()
        except RequestError as failure:
            self._rejection = failure
            raise

    def _count_incomplete_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > 2 * self.bounds.max_bytes:
            self._reject(RequestError(ErrorKind.HEADERS_TOO_LARGE))

    def _on_head_timeout(self) -> None:
        self._timer = None
        if self._response_pending:
            self._start_timer(
                self.bounds.header_timeout_seconds, self._on_head_timeout
            )
        elif self._head_bytes:
            self._reject(
                RequestError(
                    ErrorKind.BODY_TIMEOUT, 'timed out reading the request head'
                ),
            )
        else:
            self._abort()

    @property
    def _response_pending(self) -> bool:
        """Whether the response to an earlier request is incomplete."""
        return not self.has_no_request

    def _reject(self, failure: RequestError) -> None:
        """Send an error response without the application, then close."""
        if self._rejected:
            return
        self._rejected = True
        self._stop_timer()
        self.idle.remove(self)
        is_own_response = self._in_body and not self.cycle.response_started
        if self._response_pending and not is_own_response:
            # The caller would take this for the response to the previous
            # request.
            self._abort()
            return
        if self._response_pending:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.transport.write(_error_response(failure))
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
    bounds: HeaderLimits,
    max_connections: int,
) -> type[CallerProtocol]:
    """Create the protocol class of one listener.

    :param bounds: limits on each request head.
    :param max_connections: limit on the listener's open connections.
    :return: a class for uvicorn to instantiate.
    """
    idle = IdleConnections(max_connections)
    members = {'bounds': bounds, 'idle': idle}
    made = type('BoundCallerProtocol', (CallerProtocol,), members)
    return cast('type[CallerProtocol]', made)


def _error_response(failure: RequestError) -> bytes:
    body = msgspec.json.encode(error_document(failure))
    headers = [
        ('content-type', 'application/json'),
        ('content-length', str(len(body))),
        ('connection', 'close'),
        *error_headers(failure),
    ]
    lines = ''.join(f'{name}: {text}{_CRLF}' for name, text in headers)
    status = STATUS_LINE[error_response_for(failure.kind).status]
    return b'%b%b\r\n%b' % (status, lines.encode(_LATIN), body)
