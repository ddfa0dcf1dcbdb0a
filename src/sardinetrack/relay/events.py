"""Cut a stream of server-sent events at the ends of its events."""

from __future__ import annotations

from typing import Final

_END: Final = b'\n\n'
_ID: Final = b'id:'


class EventCutter:
    """Hands on whole events only, and no event twice.

    A server may stop in the middle of an event. Were half of one handed on,
    the run that goes on elsewhere would be joined to it and the caller would
    read one broken event made of two.
    """

    def __init__(self, after_event: int | None) -> None:
        """Remember what the caller has.

        :param after_event: the last event that the caller has.
        """
        self.last_event = after_event
        self._rest = b''
        self._skip_to = after_event

    @property
    def torn(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return bool(self._rest.strip())

    def resume(self) -> None:
        """Begin a new run that goes on after the last whole event."""
        self._rest = b''
        self._skip_to = self.last_event

    def feed(self, piece: bytes) -> bytes:
        """Take bytes of the stream.

        :return: the bytes of whole events, empty if there is none.
        """
        held = self._rest + piece if self._rest else piece
        end = held.rfind(_END)
        if end < 0:
            self._rest = held
            return b''
        cut = end + len(_END)
        self._rest = held[cut:]
        whole = held[:cut]
        if self._skip_to is None:
            self._note_last(whole)
            return whole
        return self._skip(whole)

    def _skip(self, whole: bytes) -> bytes:
        """Drop the events that the caller has already."""
        kept: list[bytes] = []
        for event in whole.split(_END)[:-1]:
            number = _number(event)
            if number is not None and number <= (self._skip_to or 0):
                continue
            kept.append(event + _END)
        if kept:
            self._skip_to = None
            self._note_last(kept[-1])
        return b''.join(kept)

    def _note_last(self, whole: bytes) -> None:
        start = whole.rfind(_ID)
        if start < 0:
            return
        number = _number(whole[start:])
        if number is not None:
            self.last_event = number


def _number(event: bytes) -> int | None:
    start = event.find(_ID)
    if start < 0:
        return None
    line, _, _ = event[start + len(_ID) :].partition(b'\n')
    try:
        return int(line)
    except ValueError:
        return None
