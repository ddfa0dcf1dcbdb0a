"""Incremental parser of server-sent events."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final

_DONE: Final = b'[DONE]'
_DATA: Final = b'data:'
_USAGE: Final = b'"usage"'
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_MAX_BUFFERED_BYTES: Final = 1_048_576


class EventReader:
    """Splits a stream into complete events and detects its ``[DONE]`` event.

    Only complete events are returned, so that a stream that breaks inside an
    event leaves no partial event in front of the error event.
    """

    def __init__(self) -> None:
        self._buffer = b''
        self.events = 0
        self.done = False
        self.usage_event = b''

    def feed(self, chunk: bytes) -> bytes:
        """Parse a chunk of the stream.

        :param chunk: may start and end anywhere.
        :return: the events that are now complete, none after ``[DONE]``.
        """
        if self.done:
            return b''
        buffered = self._buffer + chunk
        end = _last_end(buffered)
        if not end and len(buffered) > _MAX_BUFFERED_BYTES:
            end = len(buffered)
        events = _until_done(buffered[:end])
        self._scan(events)
        self._buffer = b'' if self.done else buffered[end:]
        return events

    def remainder(self) -> bytes:
        """Return what follows the last complete event when the stream ends."""
        remainder = self._buffer
        self._buffer = b''
        self._scan(remainder)
        return remainder

    def _scan(self, events: bytes) -> None:
        for data in _data_lines(events):
            self._scan_data(data)

    def _scan_data(self, data: bytes) -> None:
        if data == _DONE:
            self.done = True
            return
        self.events += 1
        if _USAGE in data:
            self.usage_event = data


def _data_lines(events: bytes) -> Iterator[bytes]:
    for line in events.splitlines():
        if line.startswith(_DATA):
            yield line[len(_DATA) :].strip()


def _until_done(events: bytes) -> bytes:
    if _DONE not in events:
        return events
    start = 0
    for match in _EVENT_END.finditer(events):
        if _DONE in _data_lines(events[start : match.end()]):
            return events[: match.end()]
        start = match.end()
    return events


def _last_end(buffered: bytes) -> int:
    end = 0
    for match in _EVENT_END.finditer(buffered):
        end = match.end()
    return end
