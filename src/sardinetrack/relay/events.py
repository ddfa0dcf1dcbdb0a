"""Split a stream of server-sent events at the ends of its events."""

from __future__ import annotations

from typing import Final

_END: Final = b'\n\n'
_ID: Final = b'id:'


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
        self._rest = b''
        self._delivered_up_to = after_event

    @property
    def ends_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return bool(self._rest.strip())

    def resume(self) -> None:
        """Prepare for a run that continues after the last complete event."""
        self._rest = b''
        self._delivered_up_to = self.last_event

    def feed(self, piece: bytes) -> bytes:
        """Add bytes of the stream.

        :return: the bytes of complete events, empty if there is none.
        """
        buffered = self._rest + piece if self._rest else piece
        end = buffered.rfind(_END)
        if end < 0:
            self._rest = buffered
            return b''
        split_at = end + len(_END)
        self._rest = buffered[split_at:]
        complete = buffered[:split_at]
        if self._delivered_up_to is None:
            self._record_last(complete)
            return complete
        return self._drop_delivered(complete)

    def _drop_delivered(self, complete: bytes) -> bytes:
        """Drop the events that the caller already has."""
        kept: list[bytes] = []
        for event in complete.split(_END)[:-1]:
            number = event_number(event)
            if number is not None and number <= (self._delivered_up_to or 0):
                continue
            kept.append(event + _END)
        if kept:
            self._delivered_up_to = None
            self._record_last(kept[-1])
        return b''.join(kept)

    def _record_last(self, complete: bytes) -> None:
        start = complete.rfind(_ID)
        if start < 0:
            return
        number = event_number(complete[start:])
        if number is not None:
            self.last_event = number


def event_number(event: bytes) -> int | None:
    """Return the number of an event, or of the first of several."""
    start = event.find(_ID)
    if start < 0:
        return None
    line, _, _ = event[start + len(_ID) :].partition(b'\n')
    try:
        return int(line)
    except ValueError:
        return None
