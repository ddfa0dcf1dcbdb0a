"""Counters and histograms of an entry, as plain numbers on the hot path."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from enum import StrEnum
from typing import Final

from sardinetrack.relay.relief import ReliefOutcome

BOUNDS_SECONDS: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
LEAVING_BOUNDS_SECONDS: Final = (0.25, 0.5, 1.0, 1.25, 1.5, 1.75, 2.0, 3.0, 5.0)
"""A leaving must be in effect after 2 s."""
PAUSE_RATIO_BOUNDS: Final = (0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0)
"""Of the longest pause of a stream to the objective of its route."""
MAX_WORKSPACES: Final = 200
"""Workspaces counted by name; more would let a label grow without limit."""
MAX_ROUTES: Final = 50
"""Routes whose pauses are counted by name."""
OTHERS: Final = 'others'


class LateCause(StrEnum):
    """Why a stream was late."""

    FIRST_EVENT = 'first_event'
    PAUSE = 'pause'


class Continuation(StrEnum):
    """What continues a stream of which its caller has a part."""

    RETRY = 'retry'
    """Another attempt within the same response."""
    MOVE = 'move'
    """A copy of its KV cache, or the engine that has kept it."""
    TAKE_UP = 'take_up'
    """A new request of the caller."""


class Histogram:
    """Counts amounts by bucket: seconds, unless other bounds are given."""

    def __init__(self, bounds: tuple[float, ...] = BOUNDS_SECONDS) -> None:
        self.bounds = bounds
        self.counts = [0 for _ in (*bounds, None)]
        self.total = float(0)

    def add(self, amount: float) -> None:
        """Count one amount."""
        self.counts[bisect_left(self.bounds, amount)] += 1
        self.total += amount


class StreamMeters:
    """Counts the streams that have ended, if they had begun."""

    def __init__(self) -> None:
        self.first_event = Histogram()
        self.late = Counter(dict.fromkeys(LateCause, 0))
        """By cause; a stream that was late for both counts for both."""
        self.continued = Counter(dict.fromkeys(Continuation, 0))
        """Sends that continue a stream after an event, by what does."""
        self.silences = Counter(dict.fromkeys(ReliefOutcome, 0))
        """Silences of servers in which another one was looked for."""
        self.origins: Counter[str] = Counter()
        """Streams that callers continue, by how their origin was found."""
        self.pause_ratios: dict[str, Histogram] = {}
        """Longest pause of a stream to the objective, by route."""

    def count_continued(self, *, first: bool, moves: bool) -> None:
        """Count a send that continues a stream after an event.

        :param first: the request has not been sent before.
        :param moves: the run is moved.
        """
        way = Continuation.TAKE_UP if first else Continuation.RETRY
        self.continued[Continuation.MOVE if moves else way] += 1

    def add_pause(self, route: str, ratio: float) -> None:
        """Count the longest pause of a stream that has ended.

        :param ratio: to the objective of its route.
        """
        known = route in self.pause_ratios
        if not known and len(self.pause_ratios) >= MAX_ROUTES:
            route = OTHERS
        if route not in self.pause_ratios:
            self.pause_ratios[route] = Histogram(PAUSE_RATIO_BOUNDS)
        self.pause_ratios[route].add(ratio)


class BodyMeters:
    """Counts the large bodies of requests."""

    def __init__(self) -> None:
        self.refused = 0
        """Requests for whose bodies there was no memory."""
        self.held_bytes = 0
        """What large bodies need now, beyond what the limits allow for."""


class ServerMeters:
    """Counts what the servers have done."""

    def __init__(self) -> None:
        self.refused_entries = 0
        """Listed records that could not be read; each change counts."""
        self.restarts = 0
        """Servers that restarted under the same id."""
        self.rests = 0
        """Rests that servers asked for, as far as lines report them."""
        self.announced_leavings = 0
        """Servers that said in a response that they leave."""
        self.leavings_learned = Histogram(LEAVING_BOUNDS_SECONDS)
        """Seconds from the earliest time at which the store can have accepted
        a leaving until it is known here."""
        self.list_ages = Histogram(LEAVING_BOUNDS_SECONDS)
        """Age of the list of servers at each send, in seconds."""


class Meters(ServerMeters):
    """Counts what one entry has done since it started."""

    def __init__(self) -> None:
        super().__init__()
        self.outcomes: Counter[str] = Counter()
        """By kind of error; ``served`` where a server's response was
        delivered."""
        self.retries: Counter[str] = Counter()
        """By the cause of the retry."""
        self.truncated: Counter[str] = Counter()
        """Responses that were started and not completed, by kind of error."""
        self.discarded: Counter[str] = Counter()
        """Responses that may not be the one to the request, by the reason."""
        self.closed: Counter[str] = Counter()
        """Responses that ended with their connection, by what that was."""
        self.workspaces: Counter[str] = Counter()
        self.took = Histogram()
        self.waited = Histogram()
        self.streams = StreamMeters()
        self.bodies = BodyMeters()

    def ended(self, outcome: str, workspace: str, took_seconds: float) -> None:
        """Count the end of a request.

        :param outcome: the kind of error, or ``served``.
        """
        self.outcomes[outcome] += 1
        known = workspace in self.workspaces
        if not known and len(self.workspaces) >= MAX_WORKSPACES:
            workspace = OTHERS
        self.workspaces[workspace] += 1
        self.took.add(took_seconds)
