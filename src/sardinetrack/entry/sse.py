"""Incremental reading of server-sent events."""

from __future__ import annotations

import re
from typing import Final

_DONE: Final = b'[DONE]'
_DATA: Final = b'data:'
_USAGE: Final = b'"usage"'
_ENDS: Final = re.compile(rb'\r?\n\r?\n')
_MOST_HELD_BYTES: Final = 1_048_576


class EventReader:
    """Cuts a stream into whole events and looks for its terminal.

    Only whole events are released, so that a stream that breaks inside an
    event leaves no half event in front of the error event.
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self._held = b''
        self.events = 0
        self.done = False
        self.usage_event = b''

    def feed(self, chunk: bytes) -> bytes:
        """Take in a piece of the stream.

        :param chunk: any piece, cut anywhere.
        :return: the events that are whole now.
        """
        held = self._held + chunk
        end = _last_end(held)
        if not end and len(held) > _MOST_HELD_BYTES:
            end = len(held)
        self._held = held[end:]
        self._note(held[:end])
        return held[:end]

    def rest(self) -> bytes:
        """Return what came after the last whole event, at a clean end."""
        rest = self._held
        self._held = b''
        self._note(rest)
        return rest

    def _note(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(_DATA):
                self._note_data(line[len(_DATA) :].strip())

    def _note_data(self, data: bytes) -> None:
        if data == _DONE:
            self.done = True
            return
        self.events += 1
        if _USAGE in data:
            self.usage_event = data


def _last_end(held: bytes) -> int:
    end = 0
    for match in _ENDS.finditer(held):
        end = match.end()
    return end
