"""Routing of one entry: hands each event to the pool that it concerns."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from msgspec.structs import replace

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.errors.api import ErrorKind
from sardinetrack.messages.api import (
    Bids,
    Decline,
    Grant,
    ServiceReport,
    SideLoad,
    Strike,
)
from sardinetrack.routing.api import (
    AttemptEnd,
    EntryEffect,
    Reject,
    Routing,
    SendToSide,
    SideInfo,
    Work,
)
from sardinetrack.routing.chance import Chance
from sardinetrack.routing.outcome import Outcome
from sardinetrack.routing.pool import PoolRouter
from sardinetrack.routing.shared import Identity, Shared

_FORGET_SECONDS: Final = 10.0


class Router(Routing):
    """Owns the waiting work of one entry."""

    def __init__(self, identity: Identity, random: Chance) -> None:
        """Start empty.

        :param identity: names this process.
        :param random: source of all choices.
        """
        self._shared = Shared(identity, random)
        self._outcome = Outcome(self._shared)
        self._pools: dict[str, PoolRouter] = {}
        self._pool_of_side: dict[str, PoolRouter] = {}
        self._forget_seconds = float(0)

    def configure(
        self,
        now: float,
        workspaces: Sequence[Workspace],
        pools: Sequence[Pool],
    ) -> Sequence[EntryEffect]:
        """Put a configuration in force."""
        self._shared.configure(workspaces)
        for pool in pools:
            self._pool(pool.name)
        effects: list[EntryEffect] = []
        for router in self._pools.values():
            effects.extend(router.pump(now))
        return effects

    def side_up(self, now: float, info: SideInfo) -> Sequence[EntryEffect]:
        """Use a side whose link is up."""
        pool = self._pool(info.pool)
        self._pool_of_side[info.side] = pool
        pool.sides.up(info, self._shared.breaker(info.backend_server))
        return pool.welcome(now, info.side)

    def side_down(self, now: float, side: str) -> Sequence[EntryEffect]:
        """Use a side no longer: its link broke or it is leaving."""
        pool = self._pool_of_side.pop(side, None)
        if pool is not None:
            pool.sides.down(side)
        return ()

    def load(
        self,
        now: float,
        side: str,
        load: SideLoad,
    ) -> Sequence[EntryEffect]:
        """Take note of what a side can take."""
        pool = self._pool_of_side.get(side)
        if pool is None:
            return ()
        return pool.load(now, side, load)

    def submit(self, now: float, work: Work) -> Sequence[EntryEffect]:
        """Dispatch, queue or reject a new request."""
        pool = self._pools.get(work.pool)
        if pool is None:
            return (Reject(work.request_id, ErrorKind.NOT_RUN_NO_SERVER),)
        return pool.submit(now, work)

    def cancel(self, now: float, request_id: str) -> Sequence[EntryEffect]:
        """Forget a waiting request whose caller went away."""
        for pool in self._pools.values():
            pool.cancel(now, request_id)
        return ()

    def grant(
        self,
        now: float,
        side: str,
        grant: Grant,
    ) -> Sequence[EntryEffect]:
        """Use a slot that a side set aside, or decline it."""
        pool = self._pool_of_side.get(side)
        if pool is None:
            return (SendToSide(side, Decline(grant.number)),)
        return pool.grant(now, side, grant)

    def progress(
        self,
        now: float,
        attempt_id: str,
        cost: float,
    ) -> Sequence[EntryEffect]:
        """True up the charge of a running attempt to its cost so far."""
        pool = self._running_in(attempt_id)
        if pool is not None:
            pool.ledger.progress(now, attempt_id, cost)
        return ()

    def ended(
        self,
        now: float,
        attempt_id: str,
        end: AttemptEnd,
        *,
        cost: float,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        """Settle an attempt; may queue the request again or reject it."""
        pool = self._running_in(attempt_id)
        if pool is None:
            return ()
        attempt = pool.attempts.pop(attempt_id)
        pool.ledger.settle(now, attempt_id, cost)
        effects = self._outcome.ended(
            now,
            pool,
            attempt,
            end,
            answered=answered,
        )
        return effects

    def peer_service(
        self,
        now: float,
        report: ServiceReport,
    ) -> Sequence[EntryEffect]:
        """Take in what workspaces received through another entry."""
        self._pool(report.pool).ledger.hear(now, report)
        return ()

    def peer_linked(self, now: float, entry: str) -> Sequence[Strike]:
        """Note that another entry is linked."""
        news = self._shared.news
        strikes = [
            replace(strike, number=news.next_number())
            for strike in self._shared.strikes.holding(now)
        ]
        news.linked(entry, strikes[-1].number if strikes else 0)
        return strikes

    def peer_lost(self, now: float, entry: str) -> Sequence[EntryEffect]:
        """Note that another entry is gone or cut off."""
        for pool in self._pools.values():
            pool.ledger.lose(entry)
        self._shared.news.lost(entry)
        return self._shared.news.due(now)

    def strike(self, now: float, strike: Strike) -> Sequence[EntryEffect]:
        """Note that a request crashed a backend server."""
        self._shared.strikes.add(now, strike)
        return ()

    def strike_noted(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[EntryEffect]:
        """Note that another entry knows of the strikes up to a number."""
        self._shared.news.note(entry, number)
        return self._shared.news.due(now)

    def answer(self, now: float, reject: Reject) -> Sequence[EntryEffect]:
        """Let an error answer go, or hold it until other entries may know."""
        return self._shared.news.answer(now, reject)

    def tick(self, now: float) -> Sequence[EntryEffect]:
        """Expire deadlines; refresh bids and reports that are due."""
        effects: list[EntryEffect] = []
        for pool in self._pools.values():
            effects.extend(pool.tick(now))
        effects.extend(self._shared.news.due(now))
        if now - self._forget_seconds >= _FORGET_SECONDS:
            self._forget_seconds = now
            self._shared.strikes.forget(now)
        return effects

    def bids_for(self, side: str) -> Bids:
        """Compute the present bids for a side, to ride on a dispatch."""
        pool = self._pool_of_side.get(side)
        found = pool.sides.find(side) if pool else None
        if pool is None or found is None:
            return Bids('', 0, ())
        return pool.bids(found)

    def _pool(self, name: str) -> PoolRouter:
        pool = self._pools.get(name)
        if pool is None:
            pool = PoolRouter(name, self._shared)
            self._pools[name] = pool
        return pool

    def _running_in(self, attempt_id: str) -> PoolRouter | None:
        for pool in self._pools.values():
            if attempt_id in pool.attempts:
                return pool
        return None
