"""Reads the requests on one connection, head by head and body by body."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

import httptools

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.relay.api import CallerRequest, Headers, ProtocolAdapter
from sardinetrack.relay.connection_owner import ConnectionOwner
from sardinetrack.relay.header_fields import HeaderFields
from sardinetrack.relay.held_bytes import BodyHold
from sardinetrack.relay.request_body import RequestBody

MAX_TARGET_BYTES: Final = 65_536
"""Allowed for the first line of a request, beside the limit on its headers."""
_EXPECTS_CONTINUE: Final = (b'expect', b'100-continue')
_HEAD: Final = b'HEAD'
_LENGTH: Final = b'content-length'
_CODING: Final = b'transfer-encoding'
_NO_MEMORY: Final = 'This instance has no memory for the request now; not run.'


class Rejection(NamedTuple):
    """A request that is not served."""

    error: RequestError
    bodiless: bool = False
    """Its response has no body, as that to a HEAD request."""
    call: CallerRequest | None = None
    """The head of the request, if it can be parsed."""


class RequestListener(ABC):
    """Receives the requests that are read."""

    @abstractmethod
    def request_read(self, call: CallerRequest) -> None:
        """Handle a complete request."""

    @abstractmethod
    def request_rejected(self, rejection: Rejection) -> None:
        """Handle a request that can't be served; nothing follows it."""

    @abstractmethod
    def refuse_early(self, rejection: Rejection) -> bool:
        """Refuse a request that is not read to its end, if that is possible.

        Its rest is read and dropped: a connection that closes with unread data
        is reset, which may discard the response.

        :return: whether the response is written; otherwise the request is
            rejected when it is complete.
        """

    @abstractmethod
    def input_ended(self) -> None:
        """Handle that no request is read any more, though more has arrived."""

    @abstractmethod
    def refused_request_ended(self) -> None:
        """Handle the end of a request that was refused early."""

    @abstractmethod
    def body_expected(self) -> None:
        """Handle a head whose caller waits for an invitation to send more."""


class RequestReader:
    """Parses requests; keeps the memory that they need within bounds."""

    def __init__(
        self,
        adapter: ProtocolAdapter,
        owner: ConnectionOwner,
        listener: RequestListener,
    ) -> None:
        """Start before the first request.

        :param adapter: parses the heads of requests.
        :param owner: the entry, which holds the memory.
        """
        self.reading = False
        """Whether a request is partly read."""
        self.began_seconds = float(0)
        """When the latest request began, on the clock of the event loop."""
        self.received_any = False
        self.awaits_continue = False
        """Whether the caller waits for an invitation to send the body."""
        self.calls = 0
        """Calls of the parser, which cost time whatever they bring."""
        self.unreadable = False
        """Whether the rest of the connection is dropped."""
        self._adapter = adapter
        self._owner = owner
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._fields = HeaderFields()
        self._head_read = False
        self._may_have_trailers = False
        self._head_hold: BodyHold | None = None
        self._head_bytes = 0
        self._bodiless_bytes = 0
        self._target = b''
        self._head: CallerRequest | None = None
        self._body: RequestBody | None = None
        self._rejection: RequestError | None = None
        self._refused = False
        self._refused_early = False

    def feed(self, data: bytes | memoryview) -> None:
        """Parse what has arrived."""
        if self.unreadable:
            return
        if self._may_have_trailers and not self.reading:
            # The parser passes the last trailer on as a header of what follows.
            self._parser = httptools.HttpRequestParser(self)
            self._may_have_trailers = False
        self._bodiless_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is rejected; the parser reads nothing after its head.
            self.unreadable = True
        except httptools.HttpParserCallbackError as error:
            self._owner.failed(error.__context__)
            self._break_off(ErrorKind.NOT_RUN_LOST)
        except httptools.HttpParserError:
            # It is unknown where this request ends, so nothing after it may be
            # parsed: that could be a request smuggled in the body of another
            # one.
            self._break_off(ErrorKind.BAD_REQUEST)
        else:
            self._check_head()

    def close(self) -> None:
        """Release the memory of a request that is partly read."""
        self._release_head()
        self._head = None
        if self._body is not None:
            self._body.drop()
            self._body = None

    def on_message_begin(self) -> None:
        """Start a request."""
        self.calls += 1
        if self._may_have_trailers:
            self._end_input()
        self.reading = True
        self.received_any = True
        self.began_seconds = self._owner.now()
        self._head_bytes = 0
        self._head_read = False
        self._fields = HeaderFields()
        self._target = b''
        self._rejection = None
        self._refused = False
        self._refused_early = False
        self.awaits_continue = False

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; a trailer is counted and not needed."""
        self.calls += 1
        self._head_bytes += len(name) + len(content)
        if self._head_bytes > self._owner.limits.header_bytes:
            self._reject(ErrorKind.HEADERS_TOO_LARGE)
        elif not (self._head_read or self._refused or self.unreadable):
            self._fields.append(name.lower(), content)

    def on_headers_complete(self) -> None:
        """Parse the head; the body is read even if the head is rejected."""
        self._bodiless_bytes = 0
        self._head_read = True
        fields = self._fields
        self._fields = HeaderFields()
        self._release_head()
        if self._parser.should_upgrade():
            # The parser would skip the body.
            self._rejection = self._rejection or RequestError(
                ErrorKind.BAD_REQUEST, 'protocol upgrades are not supported'
            )
        if not self._refused and not self.unreadable:
            self._parse_head(fields)

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.calls += 1
        self._bodiless_bytes = 0
        self.awaits_continue = False
        if self._body is None or self._rejection is not None:
            return
        if not self._body.append(body):
            self._refuse()
        elif self._body.is_too_large:
            self._reject(ErrorKind.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Pass the complete request on."""
        self.reading = False
        self.awaits_continue = False
        if self.unreadable:
            # More requests in the piece that is being parsed.
            return
        call, body = self._head, self._body
        # Otherwise a thousand idle connections would keep the last prompt of
        # each.
        self._head = None
        self._body = None
        if self._refused_early:
            self.unreadable = True
            self._listener.refused_request_ended()
        elif call is None or body is None or self._rejection is not None:
            if body is not None:
                body.drop()
            error = self._rejection or RequestError(ErrorKind.BAD_REQUEST)
            self._pass_rejection(error, call)
        else:
            call.body = body.take()
            call.body_hold = body.hold
            call.size_bytes = body.request_bytes
            call.closes_connection = not self._parser.should_keep_alive()
            self._listener.request_read(call)

    def refuse_pending(self) -> None:
        """Refuse a request that was to be refused after earlier responses."""
        if self.reading and self._refused and not self._refused_early:
            self._refuse()

    def _end_input(self) -> None:
        """Serve no request that shares a piece with trailers."""
        self.unreadable = True
        self._listener.input_ended()

    def _parse_head(self, fields: HeaderFields) -> None:
        self._may_have_trailers = any(name == _CODING for name, _ in fields)
        try:
            call = self._adapter.parse_request(
                self._parser.get_method(),
                self._target,
                fields,
                self._owner.now(),
            )
        except RequestError as error:
            self._rejection = self._rejection or error
            return
        self._head = call
        if self._rejection is not None:
            return
        self._body = RequestBody(
            self._owner.hold_body(call),
            self._owner.limits.body_bytes,
            call.head_bytes,
        )
        if not self._body.announce(_announced_bytes(fields)):
            self._refuse()
            return
        self.awaits_continue = _EXPECTS_CONTINUE in fields
        if self.awaits_continue:
            self._listener.body_expected()

    def _check_head(self) -> None:
        """Reject a head, or trailers, without end or without memory for them.

        The parser keeps an incomplete field, however long it is.
        """
        if not self.reading:
            return
        limit_bytes = self._owner.limits.header_bytes + MAX_TARGET_BYTES
        if self._bodiless_bytes > limit_bytes:
            self._break_off(ErrorKind.HEADERS_TOO_LARGE)
        elif self._body is None and not self._refused:
            self._hold_head()

    def _hold_head(self) -> None:
        if self._head_hold is None:
            self._head_hold = self._owner.hold_head()
        size_bytes = self._fields.size_bytes + len(self._target)
        if not self._head_hold.grow(size_bytes):
            self._refuse()

    def _release_head(self) -> None:
        if self._head_hold is not None:
            self._head_hold.release()
            self._head_hold = None

    def _reject(self, kind: ErrorKind) -> None:
        self._rejection = self._rejection or RequestError(kind)

    def _refuse(self) -> None:
        """Refuse a request that the entry has no memory for."""
        error = no_memory_error()
        self._rejection = error
        self._refused = True
        self._refused_early = self._listener.refuse_early(
            Rejection(error, self._bodiless, _stripped(self._head))
        )
        self._fields = HeaderFields()
        self._release_head()
        if self._body is not None:
            self._body.drop()

    def _break_off(self, kind: ErrorKind) -> None:
        """Reject a request whose end can't be found."""
        self.unreadable = True
        self.close()
        if self._refused_early:
            # Its response is written; the rest of the request is invalid.
            self._listener.refused_request_ended()
        else:
            self._listener.request_rejected(Rejection(RequestError(kind)))

    def _pass_rejection(
        self, error: RequestError, call: CallerRequest | None
    ) -> None:
        # The connection closes after the response.
        self.unreadable = True
        rejection = Rejection(error, self._bodiless, _stripped(call))
        self._listener.request_rejected(rejection)

    @property
    def _bodiless(self) -> bool:
        return bool(self._parser.get_method() == _HEAD)


def _stripped(call: CallerRequest | None) -> CallerRequest | None:
    """Keep of a head that is not served what its response and its log need."""
    if call is not None:
        call.drop_content()
    return call


def no_memory_error() -> RequestError:
    """Return the error for a request that the entry has no memory for."""
    return RequestError(ErrorKind.INSTANCE_BUSY, _NO_MEMORY)


def _announced_bytes(headers: Headers) -> int:
    """Return the length of the body that follows; 0 if none is announced."""
    for name, content in headers:
        if name == _LENGTH:
            return int(content) if content.isdigit() else 0
    return 0
