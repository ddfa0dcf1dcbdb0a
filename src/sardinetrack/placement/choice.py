"""Choose the server of a request by what it would cost there."""

from __future__ import annotations

import math
from collections.abc import (
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from sardinetrack.placement.holdings import SHARED_TOKENS
from sardinetrack.placement.home import ranked, shared_part, shared_tokens
from sardinetrack.placement.load import ServerLoad
from sardinetrack.placement.prompt import Prompt
from sardinetrack.topology.servers import BackendServer

REREAD_WEIGHT: Final = 20.0
"""How many times its own time reading a shared part again counts.

Everybody at that server waits for it, and it drives other parts out of the
memory. A home that can't take a request in time refuses it, and it goes
elsewhere all the same, so no server idles.
"""
RANK_SECONDS: Final = 0.015
"""Counted for each place behind the home.

Less than the load of two servers differs by, so that it only makes entries
choose the same one among servers that are alike.
"""
_MOST_RANKS: Final = 4
FAR_SECONDS: Final = 0.003
"""Counted for another failure domain: a round trip."""
ROOM_SECONDS: Final = 0.05
"""Work told by a side that may still be done when a guest comes there.

A word is 0.15 s old at the most where an engine is busy.
"""
WORD_AGE_SECONDS: Final = 0.08
"""Mean age of a word; what was told may be off by what was granted since."""
LEAVE_SECONDS: Final = 0.1
"""From leaving a server to the first event of another, beside its reading."""
_UNKNOWN: Final = ServerLoad()
_COST: Final = attrgetter('cost_seconds')


@dataclass(slots=True, eq=False)
class Candidate:
    """One server and what the request would cost there.

    Not frozen: a request makes one for each server of its pool, up to three
    times, and a frozen one takes 2.1 us in place of 0.6 (benchmarks.placement).
    """

    server: BackendServer
    wait_seconds: float
    cost_seconds: float
    new_tokens: int
    """Prompt tokens that it would have to read."""
    again_tokens: int = 0
    """Those of them that its home would not have to read."""
    begin_seconds: float = 0
    """Until the prompt would be read there."""

    @property
    def is_guest(self) -> bool:
        """Whether a shared part would be read there once more for it."""
        return self.again_tokens > 0


def by_prompt(
    prompt: Prompt,
    servers: Sequence[BackendServer],
    loads: Mapping[str, ServerLoad],
    holders: Collection[str] = (),
) -> list[Candidate]:
    """Order the servers of a model pool, the best first.

    A server that holds the shared part needs to read only the request's own
    part; any other reads all of it. So a request leaves the holders just when
    waiting there costs more than reading it all elsewhere, and then it goes
    where other entries send the same part.

    :param holders: the addresses of servers that hold the shared part. Those
        that are not among the servers count for nothing: with the only holder
        behind an open breaker nobody would be at home anywhere, and everybody
        refused as a guest beside idle servers.
    """
    by_name = {server.instance: server for server in servers}
    key = shared_part(prompt)
    order = ranked(key, by_name) if key else list(by_name)
    held = any(server.ip in holders for server in servers)
    readings = _readings(prompt, spares=not held)
    found = [
        _model_candidate(
            by_name[name],
            loads.get(name) or _UNKNOWN,
            readings.at(rank, holds=by_name[name].ip in holders),
            rank if key else 0,
        )
        for rank, name in enumerate(order)
    ]
    found.sort(key=_COST)
    return found


def by_load(
    servers: Sequence[BackendServer],
    loads: Mapping[str, ServerLoad],
    failure_domain: str,
    entries: int,
) -> list[Candidate]:
    """Order the servers of a plain pool, the least loaded first.

    :param entries: how many entries share the servers.
    """
    found: list[Candidate] = []
    for server in servers:
        load = loads.get(server.instance) or ServerLoad()
        running = max(load.running * entries, load.reported_running)
        far = server.failure_domain != failure_domain
        cost = running / max(1, server.slots) + far * FAR_SECONDS
        found.append(Candidate(server, float(0), cost, 0))
    return sorted(found, key=_COST)


def with_room(
    found: Iterable[Candidate],
    patience_seconds: float,
) -> Iterator[Candidate]:
    """Keep the servers that would take the request, by what is known of them.

    While a home reads a very long prompt, for a second or more, the holders
    of a part are the cheapest by far and all too late. Asked one after the
    other they would refuse, with idle servers behind them in the order. A
    guest is taken only where there is room at once.

    :param patience_seconds: how long the request can wait at home.
    """
    for one in found:
        most_seconds = ROOM_SECONDS if one.is_guest else patience_seconds
        if one.wait_seconds <= most_seconds:
            yield one


def worth_waiting_seconds(
    one: Candidate,
    other: Candidate | None,
    due_seconds: float = math.inf,
) -> float:
    """Tell how long a request should wait at a server before it leaves it.

    As long as waiting costs less than going to the next best, and no longer
    than it can still be in time there. A short prompt that came to its home
    just before a very long one was granted there would else wait until it is
    late, beside servers that would read it at once.

    :param other: the best of those that have room.
    :param due_seconds: from now until the first event is late.
    """
    if other is None:
        return math.inf
    over_seconds = other.cost_seconds - one.cost_seconds
    stay_seconds = one.wait_seconds + max(0, over_seconds) + WORD_AGE_SECONDS
    spare_seconds = due_seconds - other.begin_seconds - LEAVE_SECONDS
    if spare_seconds < 0:
        # It would be late there too, and have a part read again besides.
        return stay_seconds
    return min(stay_seconds, spare_seconds)


def without(
    found: Sequence[Candidate],
    instances: Collection[str],
) -> list[Candidate]:
    """Leave out servers that the request was at."""
    return [
        candidate
        for candidate in found
        if candidate.server.instance not in instances
    ]


def _own_tokens(prompt: Prompt) -> int:
    if not prompt.parts:
        return prompt.tokens
    return min(prompt.tokens, prompt.parts[-1].tokens)


@dataclass(frozen=True, slots=True)
class _Reading:
    """What a server would have to read, the same at most servers."""

    new_tokens: int
    again_tokens: int


@dataclass(frozen=True, slots=True)
class _Readings:
    """What holders, the home and all others would have to read."""

    holder: _Reading
    home: _Reading
    other: _Reading

    def at(self, rank: int, *, holds: bool) -> _Reading:
        if holds:
            return self.holder
        return self.other if rank else self.home


def _readings(prompt: Prompt, *, spares: bool) -> _Readings:
    """Work out what there is to read.

    A short shared part is read again wherever there is room: as a guest with
    next to no patience its request would be refused for a few milliseconds'
    reading, while longer ones wait at their homes.

    :param spares: nobody holds the shared part, so somebody has to read it
        and the home does.
    """
    if shared_tokens(prompt) < SHARED_TOKENS:
        anywhere = _Reading(prompt.tokens, 0)
        return _Readings(anywhere, anywhere, anywhere)
    own_tokens = _own_tokens(prompt)
    whole = _Reading(prompt.tokens, prompt.tokens - own_tokens)
    home = _Reading(prompt.tokens, 0) if spares else whole
    return _Readings(_Reading(own_tokens, 0), home, whole)


def _model_candidate(
    server: BackendServer,
    load: ServerLoad,
    reading: _Reading,
    rank: int,
) -> Candidate:
    rate_tokens = load.rate_tokens
    wait_seconds = load.told_wait_seconds + load.added_tokens / rate_tokens
    cost_seconds = (
        wait_seconds
        + REREAD_WEIGHT * reading.again_tokens / rate_tokens
        + RANK_SECONDS * min(rank, _MOST_RANKS)
    )
    return Candidate(
        server,
        wait_seconds,
        cost_seconds,
        reading.new_tokens,
        reading.again_tokens,
        wait_seconds + reading.new_tokens / rate_tokens,
    )
