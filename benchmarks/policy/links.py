"""Fake clock, event queue and links."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from sardinetrack.messages.api import LinkMessage
from sardinetrack.messages.codec import encode

Action = Callable[[], None]
_Event = tuple[float, int, Action]


class Events:
    """A deterministic event queue; it is also the clock."""

    def __init__(self) -> None:
        """Build an empty queue at time 0."""
        self.now = float(0)
        self._heap: list[_Event] = []
        self._count = 0

    def after(self, seconds: float, action: Action) -> None:
        """Schedule an action."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + seconds, self._count, action))

    def run(self, until_seconds: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= until_seconds:
            at_seconds, _, action = heapq.heappop(self._heap)
            self.now = at_seconds
            action()
        self.now = until_seconds


@dataclass(slots=True)
class Links:
    """Delays, losses and cuts between nodes, with counts of messages."""

    events: Events
    random: Random
    hop_seconds: float
    loss: float = 0
    added_seconds: float = 0
    messages: dict[str, int] = field(default_factory=dict)
    sent_bytes: int = 0
    groups: dict[str, int] = field(default_factory=dict)
    """Set during a partition: the group that a node is in."""
    down: set[str] = field(default_factory=set)

    def cut(self, one: str, other: str) -> bool:
        """Return whether two nodes can't reach each other."""
        if one in self.down or other in self.down:
            return True
        return self.group_of(one) != self.group_of(other)

    def group_of(self, node: str) -> int:
        """Return the group of a node; 0 for all nodes without a partition."""
        return self.groups.get(node, 0)

    def delay(self) -> float:
        """Draw the delay of one hop."""
        jitter = self.random.uniform(0.5, 1.5)
        return self.hop_seconds * jitter + self.added_seconds

    def control(
        self,
        source: str,
        target: str,
        message: LinkMessage,
        action: Action,
    ) -> None:
        """Send a control message, which may be lost.

        Nothing is sent or counted over a cut link.
        """
        if self.cut(source, target):
            return
        name = type(message).__name__
        self.messages[name] = self.messages.get(name, 0) + 1
        self.sent_bytes += len(encode(message))
        if self.random.random() < self.loss:
            return
        self.events.after(self.delay(), action)
