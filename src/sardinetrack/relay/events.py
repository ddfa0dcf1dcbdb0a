"""Splits a stream of server-sent events at the ends of its events."""

from __future__ import annotations

import re
from typing import Final

_LF_END: Final = b'\n\n'
_CRLF_END: Final = b'\n\r\n'
_EVENT: Final = re.compile(rb'.*?\n(?:\r?\n)+', re.DOTALL)
_ID: Final = b'id:'
_ID_LINE: Final = b'\nid:'
_DATA: Final = re.compile(rb'^data(?::|\r?$)', re.MULTILINE)
_MAX_DIGITS: Final = 18
_MAX_EVENT_BYTES: Final = 1_048_576
_END_OVERLAP_BYTES: Final = 2
"""Bytes of the end of an event that may have arrived before the last one."""


class EventSplitter:
    """Returns complete events only, and none twice.

    A server may stop in the middle of an event. If half an event were
    forwarded, the run that continues on another server would be appended to it,
    and the caller would parse one corrupt event made of two.
    """

    def __init__(self, after_event: int | None) -> None:
        """Start after the events that the caller already has.

        :param after_event: the number of the last such event.
        """
        self.last_event = after_event
        self.is_continuable = True
        """Whether a run after the last number would repeat no event.

        It would if the caller has got an event without a number since.
        """
        self._rest = bytearray()
        self._delivered_up_to = after_event
        self._repeats = False

    @property
    def ends_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return bool(self._rest.strip())

    @property
    def is_oversized(self) -> bool:
        """Whether the event that is incomplete is longer than any may be."""
        return len(self._rest) > _MAX_EVENT_BYTES

    def resume(self) -> None:
        """Prepare for a run that continues after the last complete event."""
        self._rest = bytearray()
        self._delivered_up_to = self.last_event
        self._repeats = False

    def feed(self, piece: bytes) -> bytes:
        """Add bytes of the stream.

        :return: the bytes of complete events, empty if there is none.
        """
        # The rest is not searched again with each piece of a long event.
        overlap = bytes(self._rest[-_END_OVERLAP_BYTES:])
        split_at = _last_end(overlap + piece) - len(overlap)
        if split_at <= -len(overlap):
            self._rest += piece
            return b''
        complete = self._complete(piece, split_at)
        if complete and self._delivered_up_to is not None:
            complete = self._drop_delivered(complete, self._delivered_up_to)
        if complete:
            self._record(complete)
        return complete

    def _complete(self, piece: bytes, split_at: int) -> bytes:
        """Return what is complete, and keep the rest of a piece.

        :param split_at: where the last complete event ends in the piece; it
            may have ended before it.
        """
        buffered = b''.join((self._rest, piece)) if self._rest else piece
        end = len(buffered) - len(piece) + split_at
        self._rest = bytearray(buffered[end:])
        return buffered[:end]

    def _drop_delivered(self, complete: bytes, delivered_up_to: int) -> bytes:
        """Drop the events that the caller already has."""
        kept: list[bytes] = []
        for match in _EVENT.finditer(complete):
            number = event_number(match.group())
            if number is None:
                # A server that begins anew repeats these as well.
                kept.append(b'' if self._repeats else match.group())
            elif number <= delivered_up_to:
                self._repeats = number < delivered_up_to
            else:
                self._delivered_up_to = None
                kept.append(complete[match.start() :])
                break
        return b''.join(kept)

    def _record(self, complete: bytes) -> None:
        """Record the last of the events that are forwarded."""
        continuable = True
        end = len(complete)
        while end:
            start = _last_end(complete, end - 1)
            event = complete[start:end]
            number = event_number(event)
            if number is not None:
                self.last_event = number
                self.is_continuable = continuable
                return
            continuable = continuable and not _DATA.search(event)
            end = start
        self.is_continuable = self.is_continuable and continuable


def event_number(event: bytes) -> int | None:
    """Return the number in an event's last id field, if it is one."""
    # A field begins a line; the same letters elsewhere are text.
    start = event.rfind(_ID_LINE) + 1
    if not event.startswith(_ID, start):
        return None
    end = event.find(b'\n', start)
    return parse_number(event[start + len(_ID) : end])


def first_event_number(events: bytes) -> int | None:
    """Return the number of the first of several complete events."""
    first = _EVENT.match(events)
    return event_number(first.group()) if first else None


def parse_number(content: bytes) -> int | None:
    """Parse the number of an event: decimal digits only."""
    digits = content.strip()
    if not digits.isdigit() or len(digits) > _MAX_DIGITS:
        return None
    return int(digits)


def _last_end(events: bytes, before: int | None = None) -> int:
    """Return where the last complete event ends, 0 if there is none."""
    line_feeds = events.rfind(_LF_END, 0, before)
    carriage_returns = events.rfind(_CRLF_END, 0, before)
    if line_feeds < 0 and carriage_returns < 0:
        return 0
    return max(
        line_feeds + len(_LF_END),
        carriage_returns + len(_CRLF_END),
    )
