"""Choice of the server for a request by its estimated cost there.

The home server of a request is the one that rendezvous hashing prefers for its
shared prefix.
"""

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

from sardinetrack.placement.harm import harm_seconds, risk_seconds
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prefix_index import MIN_SHARED_PREFIX_TOKENS
from sardinetrack.placement.prompt import Prompt
from sardinetrack.placement.rendezvous import (
    rendezvous_order,
    shared_prefix,
    shared_prefix_tokens,
)
from sardinetrack.topology.servers import BackendServer

RECOMPUTE_WEIGHT: Final = 20.0
"""Weight of the time in which a shared prefix is prefilled again.

All requests at that server wait for it, and it evicts other prefixes from the
KV cache. A home server that can't start a request in time refuses it, and it
goes elsewhere all the same, so no server idles.
"""
RANK_SECONDS: Final = 0.015
"""Cost of each rank behind the home server.

Less than the usual difference in load between two servers, so that it only
makes entries choose the same one among servers that are alike.
"""
_MAX_RANKS: Final = 4
REMOTE_DOMAIN_SECONDS: Final = 0.003
"""Cost of another failure domain: a round trip."""
MAX_RECOMPUTE_WAIT_SECONDS: Final = 0.05
"""Maximum reported wait of a server that would compute the prefix again.

The work may be done by the time such a request arrives there: a report is at
most 0.15 s old where an engine is busy.
"""
MAX_FURTHER_HOMES: Final = 2
"""Full servers that a request of a workspace that is owed service asks after
its home server; each refusal is a message, and a full fleet gets most of
them."""
MEAN_REPORT_AGE_SECONDS: Final = 0.08
"""Mean age of a report; it does not include what was granted since."""
SWITCH_SERVER_SECONDS: Final = 0.1
"""From giving up on a server to another one's first event, without prefill."""
_UNKNOWN: Final = EstimatedLoad()
_COST: Final = attrgetter('cost_seconds')


@dataclass(slots=True, eq=False)
class Candidate:
    """One server and the estimated cost of the request there.

    Not frozen: a request creates one for each server of its pool, up to three
    times, and a frozen one takes 2.1 us instead of 0.6 (benchmarks.placement).
    """

    server: BackendServer
    wait_seconds: float
    cost_seconds: float
    prefill_tokens: int
    """Prompt tokens that it would have to prefill."""
    recomputed_tokens: int = 0
    """Those of them that the home server would not have to prefill."""
    prefilled_seconds: float = 0
    """Until the prompt would be prefilled there."""
    rank: int = 0
    """Place in the order of home servers; 0 for the home server."""

    @property
    def recomputes_prefix(self) -> bool:
        """Whether its shared prefix would be computed there once more."""
        return self.recomputed_tokens > 0


def rank_by_prefix(
    prompt: Prompt,
    servers: Sequence[BackendServer],
    loads: Mapping[str, EstimatedLoad],
    cached_at: Collection[str] = (),
    event_gap_seconds: float = 0,
) -> list[Candidate]:
    """Order the servers of a model pool, the best first.

    A server that caches the shared prefix needs to prefill only the request's
    own block; any other prefills all of it. So a request goes to another server
    only when waiting at those costs more than prefilling it all elsewhere, and
    then it goes where other entries send the same prefix.

    :param cached_at: the addresses of servers that cache the shared prefix.
        Those that are not among the servers are ignored: with the only one
        behind an open breaker, the request would otherwise have no home server
        and be refused everywhere beside idle servers.
    :param event_gap_seconds: the pause objective of the route; 0 if none is
        set.
    """
    by_name = {server.instance: server for server in servers}
    key = shared_prefix(prompt)
    order = _home_order(key, by_name, loads) if key else list(by_name)
    is_cached = any(server.ip in cached_at for server in servers)
    work = _prefill_work(prompt, uncached=not is_cached)
    candidates = [
        _model_candidate(
            by_name[name],
            loads.get(name) or _UNKNOWN,
            work.at(rank, cached=by_name[name].ip in cached_at),
            rank if key else 0,
            prompt.output_tokens,
            event_gap_seconds,
        )
        for rank, name in enumerate(order)
    ]
    candidates.sort(key=_COST)
    return candidates


def rank_by_load(
    servers: Sequence[BackendServer],
    loads: Mapping[str, EstimatedLoad],
    failure_domain: str,
    entries: int,
    now: float,
) -> list[Candidate]:
    """Order the servers of a pool without models, the least loaded first.

    One that is slow now counts as if it ran more requests. The request itself
    is among them, or an idle slow server would cost as little as a fast one.

    :param entries: how many entries share the servers.
    :param now: by the clock of the loads' reports.
    """
    candidates: list[Candidate] = []
    for server in servers:
        load = loads.get(server.instance) or EstimatedLoad()
        running: float = max(load.running * entries, load.reported_running)
        if load.reported_slowness > 1:
            running = (running + 1) * load.slowness(now) - 1
        is_remote = server.failure_domain != failure_domain
        cost = (
            running / max(1, server.slots) + is_remote * REMOTE_DOMAIN_SECONDS
        )
        candidates.append(Candidate(server, float(0), cost, 0))
    return sorted(candidates, key=_COST)


def with_capacity(
    candidates: Iterable[Candidate],
    max_wait_seconds: float,
) -> Iterator[Candidate]:
    """Yield the servers that are expected to admit the request in time.

    While a home server prefills a very long prompt, for a second or more, the
    servers that cache a prefix are the cheapest by far and all too late. One
    after the other they would refuse the request, with idle servers behind them
    in the order. A request whose prefix is computed again is admitted only
    where capacity is free immediately.

    :param max_wait_seconds: how long the request can wait at its home server.
    """
    for one in candidates:
        limit_seconds = (
            MAX_RECOMPUTE_WAIT_SECONDS
            if one.recomputes_prefix
            else max_wait_seconds
        )
        if one.wait_seconds <= limit_seconds:
            yield one


def further_home(
    candidates: Iterable[Candidate], request_id: str
) -> Candidate | None:
    """Return a further server for a request, whatever the load there.

    It is one that caches the shared prefix, or the next one in the order of
    home servers, which all entries agree on: so a prefix gets one home server
    more at a time. Which of them depends on the request, so that not all ask
    the same one.
    """
    homes: dict[str, Candidate] = {}
    next_home: Candidate | None = None
    for one in candidates:
        if not one.recomputes_prefix:
            homes[one.server.instance] = one
        elif next_home is None or one.rank < next_home.rank:
            next_home = one
    if next_home is not None:
        homes[next_home.server.instance] = next_home
    if not homes:
        return None
    return homes[rendezvous_order(request_id, homes)[0]]


def worthwhile_wait_seconds(
    one: Candidate,
    other: Candidate | None,
    first_event_due_seconds: float = math.inf,
) -> float:
    """Return how long a request should wait at a server before switching.

    As long as waiting costs less than going to the next best one, and no longer
    than it can still be in time there. Otherwise a short prompt that came to
    its home server just before a very long one was granted there would wait
    until it is late, beside servers that would prefill it immediately.

    :param other: the best of those with free capacity.
    :param first_event_due_seconds: from now until the first event is late.
    """
    if other is None:
        return math.inf
    extra_seconds = other.cost_seconds - one.cost_seconds
    stay_seconds = (
        one.wait_seconds + max(0, extra_seconds) + MEAN_REPORT_AGE_SECONDS
    )
    spare_seconds = (
        first_event_due_seconds
        - other.prefilled_seconds
        - SWITCH_SERVER_SECONDS
    )
    if spare_seconds < 0:
        # It would be late there too, and compute a prefix again besides.
        return stay_seconds
    return min(stay_seconds, spare_seconds)


def excluding(
    candidates: Sequence[Candidate],
    instances: Collection[str],
) -> list[Candidate]:
    """Return the candidates without some servers.

    :param instances: the instances of the servers to leave out.
    """
    return [
        candidate
        for candidate in candidates
        if candidate.server.instance not in instances
    ]


def _home_order(
    key: str,
    names: Collection[str],
    loads: Mapping[str, EstimatedLoad],
) -> list[str]:
    rates = [(loads.get(name) or _UNKNOWN).home_rate_tokens for name in names]
    return rendezvous_order(key, names, rates)


def _own_tokens(prompt: Prompt) -> int:
    if not prompt.blocks:
        return prompt.tokens
    return min(prompt.tokens, prompt.blocks[-1].tokens)


@dataclass(frozen=True, slots=True)
class _PrefillWork:
    """What a server would have to prefill, the same at most servers."""

    prefill_tokens: int
    recomputed_tokens: int


@dataclass(frozen=True, slots=True)
class _PrefillWorkByServer:
    """Work of servers that cache the prefix, the home server and all others."""

    caching: _PrefillWork
    home: _PrefillWork
    other: _PrefillWork

    def at(self, rank: int, *, cached: bool) -> _PrefillWork:
        if cached:
            return self.caching
        return self.other if rank else self.home


def _prefill_work(prompt: Prompt, *, uncached: bool) -> _PrefillWorkByServer:
    """Return what there is to prefill.

    A short shared prefix is computed again wherever capacity is free:
    otherwise its request would have hardly any maximum wait away from its home
    server and be refused for a few milliseconds of prefill, while longer ones
    wait at their home servers.

    :param uncached: no server caches the shared prefix, so one has to prefill
        it and the home server does.
    """
    if shared_prefix_tokens(prompt) < MIN_SHARED_PREFIX_TOKENS:
        anywhere = _PrefillWork(prompt.tokens, 0)
        return _PrefillWorkByServer(anywhere, anywhere, anywhere)
    own_tokens = _own_tokens(prompt)
    other = _PrefillWork(prompt.tokens, prompt.tokens - own_tokens)
    home = _PrefillWork(prompt.tokens, 0) if uncached else other
    return _PrefillWorkByServer(_PrefillWork(own_tokens, 0), home, other)


def _model_candidate(
    server: BackendServer,
    load: EstimatedLoad,
    work: _PrefillWork,
    rank: int,
    output_tokens: int,
    event_gap_seconds: float,
) -> Candidate:
    rate_tokens = load.rate_tokens
    wait_seconds = load.reported_wait_seconds + load.added_tokens / rate_tokens
    cost_seconds = (
        wait_seconds
        + RECOMPUTE_WEIGHT * work.recomputed_tokens / rate_tokens
        + RANK_SECONDS * min(rank, _MAX_RANKS)
    )
    if event_gap_seconds and load.streams:
        cost_seconds += harm_seconds(
            load, work.prefill_tokens, event_gap_seconds
        )
    if event_gap_seconds and load.recent_pause_seconds:
        cost_seconds += risk_seconds(load, output_tokens, event_gap_seconds)
    return Candidate(
        server,
        wait_seconds,
        cost_seconds,
        work.prefill_tokens,
        work.recomputed_tokens,
        wait_seconds + work.prefill_tokens / rate_tokens,
        rank,
    )
