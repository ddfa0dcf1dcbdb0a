"""Requests that ended without a complete response, and what excuses it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.soak.engine import SoakServer
    from benchmarks.soak.world import Process, World

GRACE_SECONDS = 6.0
SHORTEST_TIMEOUT_SECONDS = 5.0
"""Of all routes in all versions of the configuration."""
UNENDED = 'no end'
"""Outcome of a request whose caller has left it after its deadline."""
_LOST = 'none'
_CROSSING_SECONDS = 0.2
"""A request may cross the end of its connection for so long, if no server has
received it."""
_LAST_GRACE_SECONDS = GRACE_SECONDS / 6
CONTACT_SECONDS = 3.0
"""A process is bound by limits of time if it was undisturbed for so long."""
DRAIN_SECONDS = 2.0
"""After the store has accepted a leaving, no request may arrive later."""
_RETURN_SECONDS = 0.45
"""An entry sends nothing for so long before the bound: 0.2 s for the way of the
request, and 0.25 s for which it can't know when the leaving was accepted."""
_PROMPT_SECONDS = 3.0
"""After an entry is signalled to stop: the requests that it has to refuse are
sent later."""


@dataclass(slots=True)
class Cut:
    """A request whose connection ended before its response was complete."""

    request_id: str
    entry: str
    keyed: bool
    outcome: str
    began_seconds: float = 0
    """When its last byte was sent, on the clock of the event loop."""
    ended_seconds: float = 0

    def overlaps(self, began_seconds: float, ended_seconds: float) -> bool:
        """Tell whether the request was there in a part of a period."""
        began_before = self.began_seconds <= ended_seconds
        return began_before and began_seconds <= self.ended_seconds


@dataclass(slots=True)
class Period:
    """A time on the clock of the event loop; without an end so far."""

    began_seconds: float
    ended_seconds: float = float('inf')


@dataclass(slots=True)
class Disturbances:
    """What was done to one process."""

    unplanned: list[Period] = field(default_factory=list)
    """Kills and freezes."""
    store: list[Period] = field(default_factory=list)
    """Times in which its store is disturbed, or its path there."""
    stops: list[float] = field(default_factory=list)
    """Times of signals to stop."""
    starts: list[float] = field(default_factory=list)

    def in_touch(self, seconds: float) -> bool:
        """Tell whether the process is bound by limits of time.

        It is if it ran, and reached a sound store, all the time before.
        """
        times = (*self.starts, *self.stops)
        since = seconds - CONTACT_SECONDS
        return not self.disturbed(seconds) and not any(
            since < one <= seconds for one in times
        )

    def disturbed(self, seconds: float) -> bool:
        """Tell whether a fault has just hit the process or its store."""
        since = seconds - CONTACT_SECONDS
        return any(
            one.began_seconds <= seconds and since < one.ended_seconds
            for one in (*self.unplanned, *self.store)
        )

    def excuse(self, cut: Cut) -> bool:
        """Tell whether an unplanned fault hit the process meanwhile."""
        periods = list(self.unplanned)
        if cut.keyed:
            periods.extend(self.store)
        return any(
            cut.overlaps(one.began_seconds, one.ended_seconds)
            for one in periods
        )

    def grace_ends(self, cut: Cut) -> bool:
        """Tell whether a stopping entry had no time left for the request."""
        for stop in self.stops:
            late = stop + GRACE_SECONDS - _LAST_GRACE_SECONDS
            prompt = cut.began_seconds <= stop + _PROMPT_SECONDS
            if prompt and late <= cut.ended_seconds <= stop + GRACE_SECONDS + 1:
                return True
        return False


@dataclass(slots=True)
class ServerRecord:
    """What happened at one server, in all its starts."""

    sent: set[str] = field(default_factory=set)
    """Ids of the requests that were sent to it."""
    crash_times: list[float] = field(default_factory=list)
    broken: set[str] = field(default_factory=set)
    """Ids of the requests whose copy or continuation it has failed."""
    stopped: set[str] = field(default_factory=set)
    """Ids of the requests whose run a move has stopped."""
    silences: list[Period] = field(default_factory=list)
    leavings: list[Period] = field(default_factory=list)
    """From the store's acceptance of a leaving to the end of the server."""
    arrivals: dict[str, float] = field(default_factory=dict)
    """When each request arrived last that it did not turn away as meant for
    another server."""

    def forbids_return(self, cut: Cut) -> bool:
        """Tell whether a moved stream could not return here in time.

        Its run was stopped by a move, and would have gone on here.
        """
        due_seconds = cut.ended_seconds - DRAIN_SECONDS + _RETURN_SECONDS
        return cut.request_id in self.stopped and any(
            one.began_seconds <= due_seconds for one in self.leavings
        )

    def is_silent(self, seconds: float) -> bool:
        """Tell whether it was silent at a time."""
        return any(
            one.began_seconds <= seconds < one.ended_seconds
            for one in self.silences
        )


def losses(cuts: Iterable[Cut], world: World) -> tuple[Counter[str], list[str]]:
    """Judge requests without a complete response.

    Planned work and the silence of a server excuse nothing.

    :return: number of requests by excuse, and those that have none.
    """
    processes = {one.ip: one for one in (*world.entries, *world.sides)}
    excuses: Counter[str] = Counter()
    lost: list[str] = []
    for cut in cuts:
        servers = [
            one for one in world.servers if cut.request_id in one.record.sent
        ]
        excuse = _excuse(cut, servers, processes)
        excuses[excuse] += 1
        if excuse == _LOST:
            ips = ' '.join(one.ip for one in servers)
            lost.append(f'lost, at servers ({ips}): {cut}')
    return excuses, lost


def _excuse(
    cut: Cut, servers: list[SoakServer], processes: dict[str, Process]
) -> str:
    if _is_disturbed(cut, servers, processes):
        return 'fault'
    seconds = cut.ended_seconds - cut.began_seconds
    if cut.outcome != UNENDED and seconds >= SHORTEST_TIMEOUT_SECONDS:
        return 'time-out'
    if not servers and seconds <= _CROSSING_SECONDS:
        return 'not read'
    if any(one.record.forbids_return(cut) for one in servers):
        return 'left'
    if servers and processes[cut.entry].disturbances.grace_ends(cut):
        return 'grace'
    return _LOST


def _is_disturbed(
    cut: Cut, servers: list[SoakServer], processes: dict[str, Process]
) -> bool:
    """Tell whether an unplanned fault hit its entry or one of its servers.

    The side of a server has the same IP address.
    """
    ips = {cut.entry, *(one.ip for one in servers)} & processes.keys()
    if any(processes[ip].disturbances.excuse(cut) for ip in ips):
        return True
    if any(cut.request_id in one.record.broken for one in servers):
        return True
    return any(
        cut.overlaps(at, at)
        for server in servers
        for at in server.record.crash_times
    )
