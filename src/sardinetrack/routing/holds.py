"""Tells why requests still wait."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import islice
from typing import Final

from sardinetrack.routing.api import Held
from sardinetrack.routing.order import Order
from sardinetrack.routing.queue import WorkQueue

HOLD_TOLD_SECONDS: Final = 1.0
_MOST_TOLD: Final = 16
"""Requests told of in one tick; a line each for all would be a flood."""


class Holds:
    """Finds what has waited for long, and tells each reason once."""

    def __init__(self, queue: WorkQueue, order: Order) -> None:
        """Watch the lines of one pool."""
        self._queue = queue
        self._order = order

    def due(self, now: float) -> Sequence[Held]:
        """Tell of requests whose reason to wait is new.

        :param now: monotonic time.
        :return: what to write to the log.
        """
        return list(islice(self._new(now), _MOST_TOLD))

    def _new(self, now: float) -> Iterator[Held]:
        for workspace in self._queue.workspaces():
            waiting = self._queue.head(workspace)
            if now - waiting.queued_seconds < HOLD_TOLD_SECONDS:
                continue
            held = self._order.hold(now, waiting)
            if held.reason is not waiting.told_hold:
                waiting.told_hold = held.reason
                yield held
