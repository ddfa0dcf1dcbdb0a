"""Structured lines on standard output: one for each decision.

The writer never blocks: lines wait in a bounded buffer. Lines that don't fit
because the reader is stuck are dropped and counted, and a later line reports
the count.
"""

from __future__ import annotations

import os
import time
from collections import deque
from enum import StrEnum
from typing import Final

import msgspec

MAX_LINES: Final = 2000
"""Lines that wait for a slow reader; about 500 KB at 250 bytes a line."""
MAX_BUFFER_BYTES: Final = 1_000_000
"""The same in bytes: a line may hold ids and parts that a caller has chosen."""
_MAX_WRITE_BYTES: Final = 65_536
"""Target size of one write: the usual capacity of a pipe."""
_MIN_ERROR_STATUS: Final = 400


class Event(StrEnum):
    """Kinds of lines; docs/OPERATIONS.md describes each."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    RELOADED = 'reloaded'
    PORT_UNAVAILABLE = 'port_unavailable'
    PORT_OPENED = 'port_opened'
    READY = 'ready'
    CONFIGURED = 'configured'
    CONFIG_REFUSED = 'config_refused'
    HISTORY_LOST = 'history_lost'
    STORE_LOST = 'store_lost'
    STORE_BACK = 'store_back'
    VIEW_BORROWED = 'view_borrowed'
    VIEW_OWN = 'view_own'
    WATCHING = 'watching'
    SIDE_LOST = 'side_lost'
    SIDE_BACK = 'side_back'
    SERVER_LISTED = 'server_listed'
    SERVER_GONE = 'server_gone'
    SERVER_REFUSED = 'server_refused'
    SERVER_RESTARTED = 'server_restarted'
    SERVER_SUSPECT = 'server_suspect'
    SERVER_LEAVING = 'server_leaving'
    SERVER_REST = 'server_rest'
    SERVER_SILENT = 'server_silent'
    SERVER_CRASHED = 'server_crashed'
    PART_STATUS = 'part_status'
    EVACUATION = 'evacuation'
    OVERLOAD = 'overload'
    MEMORY_SHORT = 'memory_short'
    CONNECTIONS_CLOSED = 'connections_closed'
    REQUEST_SENT = 'request_sent'
    REQUEST_RETRIED = 'request_retried'
    STREAM_TAKEN_UP = 'stream_taken_up'
    STREAM_MOVED = 'stream_moved'
    RESPONSE_CLOSED = 'response_closed'
    RESPONSE_TRUNCATED = 'response_truncated'
    RESPONSE_DISCARDED = 'response_discarded'
    STREAM_LATE = 'stream_late'
    REQUEST_ENDED = 'request_ended'
    REFUSED = 'refused'
    ENGINE_USED = 'engine_used'
    ENGINE_SILENT = 'engine_silent'
    ENGINE_HEARD = 'engine_heard'
    ENTRY_CONNECTED = 'entry_connected'
    ENTRY_LOST = 'entry_lost'
    LINES_DROPPED = 'lines_dropped'
    FAULT = 'fault'


class EventLog:
    """Writes lines without ever waiting for their reader."""

    def __init__(self, fileno: int, instance: str) -> None:
        """Make the file descriptor non-blocking.

        :param fileno: file descriptor of standard output.
        :param instance: name of this instance, written in each line.
        """
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self.instance = instance
        self._encode = msgspec.json.Encoder().encode
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._partial = b''
        self.dropped = 0
        self._dropped_reported = 0

    def write(self, event: Event, **fields: object) -> None:
        """Add one line to the buffer.

        :param event: the kind of line.
        :param fields: the values behind the decision, with units in the names.
        """
        if self._is_full and not self._evict_for(fields):
            self.dropped += 1
            return
        line = {'time': round(time.time(), 3), 'node': self.instance}
        line['event'] = event
        self._append({**line, **fields})

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        while self._partial or self._buffer:
            if not self._partial:
                self._partial = self._next_block()
            if not self._write_partial():
                return
        if self.dropped > self._dropped_reported:
            # Reported only once the reader has caught up: one such line for
            # each flush would use up the memory that the limit protects.
            self._dropped_reported = self.dropped
            self.write(Event.LINES_DROPPED, lines=self.dropped)

    @property
    def _is_full(self) -> bool:
        full = self._buffered_bytes >= MAX_BUFFER_BYTES
        return full or len(self._buffer) >= MAX_LINES

    def _append(self, line: dict[str, object]) -> None:
        encoded = b'%b\n' % self._encode(line)
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)

    def _take(self) -> bytes:
        line = self._buffer.popleft()
        self._buffered_bytes -= len(line)
        return line

    def _evict_for(self, fields: dict[str, object]) -> bool:
        """Drop the oldest lines if the new one is about a failed request."""
        status = fields.get('status')
        if not isinstance(status, int) or status < _MIN_ERROR_STATUS:
            return False
        while self._is_full:
            self._take()
            self.dropped += 1
        return True

    def _next_block(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._buffer and size < _MAX_WRITE_BYTES:
            lines.append(self._take())
            size += len(lines[-1])
        return b''.join(lines)

    def _write_partial(self) -> bool:
        try:
            written = os.write(self._fileno, self._partial)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed its end, so the error cannot be reported.
            self._partial = b''
            self._buffer.clear()
            self._buffered_bytes = 0
            return False
        self._partial = self._partial[written:]
        return True
