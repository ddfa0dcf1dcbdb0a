"""Structured lines on standard output: one for each decision.

The writer never blocks: lines wait in a bounded buffer, and what a stuck
reader makes it drop is counted and told by the next line that gets through.
"""

from __future__ import annotations

import os
import time
from collections import deque
from enum import StrEnum
from typing import Final

import msgspec

MOST_LINES: Final = 2000
"""Lines that wait for a slow reader; about 500 KB at 250 bytes a line."""
_MOST_BYTES: Final = 65_536
"""Bytes written at once: the usual capacity of a pipe."""
_FAILED_STATUS: Final = 400


class Event(StrEnum):
    """Every kind of line; docs/OPERATIONS.md has the table."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    RELOADED = 'reloaded'
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
    SERVER_CRASHED = 'server_crashed'
    EVACUATION = 'evacuation'
    OVERLOAD = 'overload'
    MEMORY_SHORT = 'memory_short'
    CONNECTIONS_CLOSED = 'connections_closed'
    REQUEST_SENT = 'request_sent'
    REQUEST_RETRIED = 'request_retried'
    REQUEST_ENDED = 'request_ended'
    REFUSED = 'refused'
    ENGINE_USED = 'engine_used'
    ENTRY_CONNECTED = 'entry_connected'
    ENTRY_LOST = 'entry_lost'
    LINES_DROPPED = 'lines_dropped'
    FAULT = 'fault'


class EventLog:
    """Writes lines without ever waiting for their reader."""

    def __init__(self, fileno: int, node: str) -> None:
        """Take over a file descriptor, and make it non-blocking.

        :param fileno: of standard output.
        :param node: name of this instance, in each line.
        """
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._node = node
        self._encode = msgspec.json.Encoder().encode
        self._waiting: deque[bytes] = deque()
        self._partial = b''
        self.dropped = 0
        self._dropped_told = 0

    def write(self, event: Event, **fields: object) -> None:
        """Put one line in the buffer.

        :param event: its kind.
        :param fields: what decided, with units in the names.
        """
        if len(self._waiting) >= MOST_LINES and not self._make_room(fields):
            self.dropped += 1
            return
        line = {'time': round(time.time(), 3), 'node': self._node}
        line['event'] = event
        self._append({**line, **fields})

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._partial or self._waiting:
            if not self._partial:
                self._partial = self._next_block()
            if not self._write_partial():
                return
        if self.dropped > self._dropped_told:
            # Told only when the reader goes on: one such line for each flush
            # would fill the memory that the bound is there to keep.
            self._dropped_told = self.dropped
            self.write(Event.LINES_DROPPED, lines=self.dropped)

    def _append(self, line: dict[str, object]) -> None:
        self._waiting.append(b'%b\n' % self._encode(line))

    def _make_room(self, fields: dict[str, object]) -> bool:
        """Drop the oldest line in favour of one about a failed request."""
        status = fields.get('status')
        if isinstance(status, int) and status >= _FAILED_STATUS:
            self._waiting.popleft()
            self.dropped += 1
            return True
        return False

    def _next_block(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._waiting and size < _MOST_BYTES:
            lines.append(self._waiting.popleft())
            size += len(lines[-1])
        return b''.join(lines)

    def _write_partial(self) -> bool:
        try:
            written = os.write(self._fileno, self._partial)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the lines any more; there is nowhere to tell it.
            self._partial = b''
            self._waiting.clear()
            return False
        self._partial = self._partial[written:]
        return True
