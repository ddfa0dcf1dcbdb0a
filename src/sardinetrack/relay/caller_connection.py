"""A caller's connection: reads requests, writes responses, one at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Final, cast

from sardinetrack.http.sockets import file_descriptor, has_unread_data
from sardinetrack.relay.api import CallerRequest, ProtocolAdapter
from sardinetrack.relay.caller_response import CallerResponse
from sardinetrack.relay.connection_owner import ConnectionOwner
from sardinetrack.relay.error_response import error_response
from sardinetrack.relay.flow_control import FlowControl
from sardinetrack.relay.input_turns import FIRST_COST_SECONDS, CostlyInput
from sardinetrack.relay.request_reader import (
    Rejection,
    RequestListener,
    RequestReader,
    no_memory_error,
)

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD: Final = b'HEAD'
_PIECE_BYTES: Final = 32_768
_PIECE: Final = memoryview(bytearray(_PIECE_BYTES))
"""Where a piece of input is read, from one connection at a time."""
COSTLY_CALLS: Final = 512
"""Calls of the parser for one piece from which its input is costly; a head has
some tens."""
_MAX_PIPELINED: Final = 16
"""Pipelined requests that may wait for earlier responses on one connection."""


class CallerConnection(asyncio.BufferedProtocol, RequestListener, CostlyInput):
    """Serves the requests of a caller and detects when it disconnects."""

    def __init__(
        self, adapter: ProtocolAdapter, owner: ConnectionOwner
    ) -> None:
        """Create the connection; asyncio supplies the transport later.

        :param adapter: parses the heads of requests.
        :param owner: the entry that serves the requests.
        """
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(adapter, owner, self)
        self._call: CallerRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._pipelined: deque[CallerRequest | Rejection] = deque()
        self._closing = False
        self._draining = False
        self._ended_seconds = float(0)
        self._is_costly = False
        self._unsent_bytes = 0
        self._written_seconds = float(0)
        self.response = CallerResponse(self._write, self._closes)
        self.flow = FlowControl()

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._task is not None

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or partly read.

        A connection that has not sent any request yet is about to send one, so
        it is not idle.
        """
        waits = self.reading or self._pipelined
        return self._reader.received_any and not self.busy and not waits

    @property
    def reading(self) -> bool:
        """Whether a request is partly read."""
        return self._reader.reading

    @property
    def changed_seconds(self) -> float:
        """When a request last began or ended, or the connection was made."""
        return max(self._ended_seconds, self._reader.began_seconds)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._ended_seconds = self._owner.now()
        self._owner.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next piece is read; it is parsed immediately."""
        return _PIECE

    def buffer_updated(self, nbytes: int) -> None:
        """Parse; pipelined requests wait for the responses to earlier ones."""
        cost_seconds = FIRST_COST_SECONDS
        calls = self._reader.calls
        if self._is_costly:
            began_seconds = self._owner.now()
            self._reader.feed(_PIECE[:nbytes])
            cost_seconds = self._owner.now() - began_seconds
        else:
            self._reader.feed(_PIECE[:nbytes])
        self._is_costly = self._reader.calls - calls > COSTLY_CALLS
        if self._is_costly:
            self._owner.input_turns.defer(self, cost_seconds)

    def pause_reading(self) -> None:
        """Read nothing until its turn."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> bool:
        """Read on; return whether the connection is open."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        transport.resume_reading()
        return True

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnected caller."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: its caller has disconnected."""
        self._owner.closed(self)
        self._release_unserved()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Stop reading from the server while the caller reads slowly."""
        self.flow.pause()

    def resume_writing(self) -> None:
        """Continue to read from the server, and to serve what waits."""
        self.flow.resume()
        self._go_on()

    @property
    def unread_input(self) -> bool:
        """Whether the socket holds data that the loop has not read yet."""
        return has_unread_data(self._transport)

    @property
    def has_unsent(self) -> bool:
        """Whether a part of its responses waits until the caller reads."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed, even if that is still unread.

        A late event loop reads a request and the end of its connection in one
        iteration and serves the request first, so a server would run it for a
        disconnected caller. An end of connection that was read cancels the
        request only in the next iteration, which may be seconds later.
        """
        if self._is_closing:
            return True
        return self.unread_input and self._peek_end()

    def _peek_end(self) -> bool:
        """Peek, without reading, whether the caller has ended its stream."""
        # Not of a duplicate, for which no descriptor may be free.
        borrowed = socket.socket(fileno=file_descriptor(self._transport))
        try:
            return not borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            borrowed.detach()

    def close_idle(self) -> bool:
        """Close the connection unless data waits unread.

        When the event loop is late, a request may have waited unread for longer
        than the idle time-out. Its caller would see a connection reset and
        could not tell whether the request has run.

        :return: whether it was closed.
        """
        if self.unread_input:
            return False
        self.close()
        return True

    def evict(self) -> bool:
        """Close in favour of another connection, unless data waits unread.

        :return: whether it was closed.
        """
        if self.has_unsent and self._transport is not None:
            # A close would wait for a caller that may never read.
            self._transport.abort()
            return True
        return self.close_idle()

    def close(self) -> None:
        """Close after all pending data is written."""
        if self._transport is not None:
            self._transport.close()

    def expire(self, now: float, allowed_seconds: float) -> None:
        """Close if nothing has happened on the connection for too long.

        :param now: on the clock of the event loop.
        """
        self._observe_unsent(now)
        since = max(self.changed_seconds, self._written_seconds)
        if self._transport is None or now - since <= allowed_seconds:
            return
        if self.has_unsent:
            # Its caller does not read, so it would never be written.
            self._transport.abort()
        elif self._is_costly or self._reader.unreadable:
            # There is always more that is not read.
            self.close()
        else:
            self.close_idle()

    def _observe_unsent(self, now: float) -> None:
        """Note when the caller has read something of what waits."""
        unsent_bytes = 0
        if self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._written_seconds = now

    def close_after_response(self) -> None:
        """Announce with the last response that the connection closes.

        It is the one to the last request that was read by then.
        """
        self._draining = True

    def request_read(self, call: CallerRequest) -> None:
        """Queue a request, if there is memory for it while it waits."""
        hold = call.body_hold
        if hold is None or self._may_serve:
            self._queue(call)
        elif hold.wait(call.size_bytes):
            self._queue(call)
        else:
            hold.release()
            self._reader.unreadable = True
            call.drop_content()
            bodiless = call.method == _HEAD
            self._queue(Rejection(no_memory_error(), bodiless, call))

    def request_rejected(self, rejection: Rejection) -> None:
        """Queue a request that can't be served."""
        self._queue(rejection)

    def refuse_early(self, rejection: Rejection) -> bool:
        """Refuse unless the responses to earlier requests come first."""
        if not self._may_serve:
            return False
        self._write_final(rejection)
        return True

    def input_ended(self) -> None:
        """Close after the response to the last request that was read."""
        self._closing = True

    def refused_request_ended(self) -> None:
        """Close: all of the request is read, so that resets nothing."""
        self.close()

    def body_expected(self) -> None:
        """Invite the body of a request."""
        self._write_continue()

    def truncate(self) -> None:
        """Close the connection so that the response can't look complete."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def _closes(self) -> bool:
        """Whether the connection closes after a response that starts now."""
        if self._call is not None and self._call.closes_connection:
            return True
        # Requests that were read before an entry stops get their responses.
        return self._closing or (self._draining and not self._pipelined)

    @property
    def _may_serve(self) -> bool:
        """Whether a request that is read now can be served immediately."""
        return not (self.busy or self._pipelined or self.flow.paused)

    @property
    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _queue(self, request: CallerRequest | Rejection) -> None:
        if len(self._pipelined) >= _MAX_PIPELINED:
            _release(request)
            # The response in progress is not to be broken off; the next one
            # announces the close, and what follows it is not served.
            self._closing = True
            self._reader.unreadable = True
            return
        self._pipelined.append(request)
        self._serve_next()

    def _serve_next(self) -> None:
        """Serve the next queued request.

        While the caller does not read, its responses would fill the memory.
        """
        if self.busy or self.flow.paused or self._is_closing:
            return
        if self._pipelined:
            request = self._pipelined.popleft()
            if isinstance(request, Rejection):
                self._write_rejection(request)
                return
            self._call = request
            if request.body_hold is not None:
                request.body_hold.complete(request.size_bytes)
            self._begin_response(bodiless=request.method == _HEAD)
            self._task = asyncio.get_running_loop().create_task(
                self._owner.serve(request, self),
            )
            self._task.add_done_callback(self._request_done)

    def _release_unserved(self) -> None:
        """Release the memory of requests that nobody waits for any more."""
        self._reader.close()
        for request in self._pipelined:
            _release(request)
        self._pipelined.clear()

    def _begin_response(self, *, bodiless: bool) -> None:
        self.response = CallerResponse(
            self._write, self._closes, bodiless=bodiless
        )

    def _write_rejection(self, rejection: Rejection) -> None:
        # The rejected request may not have been read to its end; the rest of
        # it would be parsed as the next request.
        self._write_final(rejection)
        self.close()

    def _write_final(self, rejection: Rejection) -> None:
        """Write a response that announces the close."""
        self._closing = True
        self._begin_response(bodiless=rejection.bodiless)
        if rejection.call is not None:
            self._owner.refuse(rejection.call, self, rejection.error)
            return
        status, headers, body = error_response(rejection.error)
        self.response.send(status, headers, body)

    def _request_done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        _release(self._call)
        self._ended_seconds = self._owner.now()
        if task.cancelled():
            self.truncate()
            return
        error = task.exception()
        if error:
            self._owner.failed(error)
        self._end_response()

    def _end_response(self) -> None:
        if self.response.close_announced and self.response.complete:
            self.close()
        elif self.response.complete:
            self._call = None
            self._go_on()
        else:
            self.truncate()

    def _go_on(self) -> None:
        """Do what had to wait for the response to an earlier request."""
        self._serve_next()
        if self._may_serve:
            self._reader.refuse_pending()
        self._write_continue()

    def _write_continue(self) -> None:
        """Invite the body of a request, after the responses to earlier ones.

        Within the response to an earlier request it would corrupt that one.
        """
        if self._reader.awaits_continue and self._may_serve:
            self._reader.awaits_continue = False
            self._write(_CONTINUE)

    def _write(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)


def _release(request: CallerRequest | Rejection | None) -> None:
    """Release the memory of a request that has ended."""
    if isinstance(request, CallerRequest) and request.body_hold is not None:
        request.body_hold.release()
