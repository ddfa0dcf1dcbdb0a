"""The longest pause of a stream, as its caller sees it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sardinetrack.relay.events import first_event_number
from sardinetrack.relay.flow_control import FlowControl


@dataclass(frozen=True, slots=True)
class Pause:
    """The time between two successive events of a stream."""

    seconds: float
    next_event: int | None
    """Number of the event after the pause; none if it has no number."""
    server: str
    """The server that sent that event."""
    prefill_tokens: int
    """Prompt tokens that this server had to prefill for the stream."""
    resumed: bool
    """Whether another attempt sent the event before the pause."""
    caller_slow: bool
    """Whether reading from the server was paused for the caller meanwhile."""


class StreamPauses:
    """Keeps the longest pause between two events, over all attempts.

    The wait for the first event is no pause.
    """

    def __init__(self, flow: FlowControl) -> None:
        """Create it for a stream that has not begun.

        :param flow: between the caller and its servers.
        """
        self.longest: Pause | None = None
        self._flow = flow
        self._longest_seconds = float(0)
        # No difference to infinity is longer than a pause, so the first event
        # needs no comparison of its own.
        self._last_event_seconds = math.inf
        self._attempt_seconds = -math.inf
        self._server = ''
        self._prefill_tokens = 0

    @property
    def longest_seconds(self) -> float:
        """The longest pause so far; 0 before the second event."""
        return self._longest_seconds

    def begin_attempt(
        self, now: float, server: str, prefill_tokens: int
    ) -> None:
        """Attribute the following events to a server.

        :param now: on the clock of the event loop.
        """
        self._attempt_seconds = now
        self._server = server
        self._prefill_tokens = prefill_tokens

    def events_forwarded(self, now: float, events: bytes) -> None:
        """Handle events that the caller gets together.

        :param now: when they arrived, on the clock of the event loop.
        """
        before_seconds = self._last_event_seconds
        self._last_event_seconds = now
        if now - before_seconds > self._longest_seconds:
            self._record(before_seconds, now, events)

    def _record(self, before_seconds: float, now: float, events: bytes) -> None:
        flow = self._flow
        self._longest_seconds = now - before_seconds
        self.longest = Pause(
            seconds=self._longest_seconds,
            next_event=first_event_number(events),
            server=self._server,
            prefill_tokens=self._prefill_tokens,
            resumed=self._attempt_seconds >= before_seconds,
            caller_slow=flow.paused or flow.resumed_seconds >= before_seconds,
        )
