"""Incremental parser of server-sent events."""

from __future__ import annotations

import re
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
        for event in _EVENT_END.split(events):
            data = _data(event)
            if data:
                self._scan_data(data)

    def _scan_data(self, data: bytes) -> None:
        if data == _DONE:
            self.done = True
            return
        self.events += 1
        if _USAGE in data:
            self.usage_event = data


def _data(event: bytes) -> bytes:
    """Join the data lines of an event; one of several is only a part."""
    lines = event.split(b'\n')
    return b'\n'.join(
        line[len(_DATA) :].strip() for line in lines if line.startswith(_DATA)
    )


def _until_done(events: bytes) -> bytes:
    if _DONE not in events:
        return events
    start = 0
    for match in _EVENT_END.finditer(events):
        if _data(events[start : match.start()]) == _DONE:
            return events[: match.end()]
        start = match.end()
    return events


def _last_end(buffered: bytes) -> int:
    end = 0
    for match in _EVENT_END.finditer(buffered):
        end = match.end()
    return end
