"""Routing of one entry: passes each event to its pool."""

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
    AttemptOutcome,
    EntryEffect,
    Reject,
    RoutedRequest,
    RoutingPolicy,
    SendToSide,
    SideInfo,
)
from sardinetrack.routing.outcome_handler import OutcomeHandler
from sardinetrack.routing.pool import PoolRouter
from sardinetrack.routing.rng import RandomSource
from sardinetrack.routing.shared import ProcessIdentity, SharedState

_STRIKE_CLEANUP_SECONDS: Final = 10.0


class Router(RoutingPolicy):
    """Routes the requests of one entry, with a ``PoolRouter`` per pool."""

    def __init__(self, identity: ProcessIdentity, rng: RandomSource) -> None:
        """Create a router without pools.

        :param identity: of this process.
        :param rng: random number generator for all choices.
        """
        self._shared = SharedState(identity, rng)
        self._outcome_handler = OutcomeHandler(self._shared)
        self._pools: dict[str, PoolRouter] = {}
        self._pool_of_side: dict[str, PoolRouter] = {}
        self._cleanup_seconds = float(0)

    def configure(
        self,
        now: float,
        workspaces: Sequence[Workspace],
        pools: Sequence[Pool],
    ) -> Sequence[EntryEffect]:
        """Apply a configuration."""
        self._shared.configure(workspaces)
        for pool in pools:
            self._pool(pool.name)
        effects: list[EntryEffect] = []
        for pool_router in self._pools.values():
            effects.extend(pool_router.dispatch_ready(now))
        return effects

    def side_connected(
        self, now: float, info: SideInfo
    ) -> Sequence[EntryEffect]:
        """Start using a side whose link is up."""
        pool = self._pool(info.pool)
        self._pool_of_side[info.side] = pool
        pool.sides.add(info, self._shared.breaker(info.backend_server))
        return pool.initial_bids(now, info.side)

    def side_disconnected(self, now: float, side: str) -> Sequence[EntryEffect]:
        """Stop using a side: its link broke or it is draining."""
        pool = self._pool_of_side.pop(side, None)
        if pool is not None:
            pool.sides.remove(side)
        return ()

    def update_side_load(
        self,
        now: float,
        side: str,
        load: SideLoad,
    ) -> Sequence[EntryEffect]:
        """Apply a load report of a side."""
        pool = self._pool_of_side.get(side)
        if pool is None:
            return ()
        return pool.update_load(now, side, load)

    def submit(self, now: float, work: RoutedRequest) -> Sequence[EntryEffect]:
        """Dispatch, queue or reject a new request."""
        pool = self._pools.get(work.pool)
        if pool is None:
            return (Reject(work.request_id, ErrorKind.NOT_RUN_NO_SERVER),)
        return pool.submit(now, work)

    def cancel(self, now: float, request_id: str) -> Sequence[EntryEffect]:
        """Remove a queued request whose caller disconnected."""
        for pool in self._pools.values():
            pool.cancel(now, request_id)
        return ()

    def grant(
        self,
        now: float,
        side: str,
        grant: Grant,
    ) -> Sequence[EntryEffect]:
        """Use a slot that a side granted, or decline the grant."""
        pool = self._pool_of_side.get(side)
        if pool is None:
            return (SendToSide(side, Decline(grant.number)),)
        return pool.grant(now, side, grant)

    def adjust_charge(
        self,
        now: float,
        attempt_id: str,
        cost: float,
    ) -> Sequence[EntryEffect]:
        """Adjust the charge of a running attempt to its cost so far."""
        pool = self._pool_of_attempt(attempt_id)
        if pool is not None:
            pool.ledger.progress(now, attempt_id, cost)
        return ()

    def settle_attempt(
        self,
        now: float,
        attempt_id: str,
        end: AttemptOutcome,
        *,
        cost: float,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        """Settle an attempt; may queue the request again or reject it."""
        pool = self._pool_of_attempt(attempt_id)
        if pool is None:
            return ()
        attempt = pool.attempts.pop(attempt_id)
        pool.ledger.settle(now, attempt_id, cost)
        effects = self._outcome_handler.handle(
            now,
            pool,
            attempt,
            end,
            answered=answered,
        )
        return effects

    def apply_service_report(
        self,
        now: float,
        report: ServiceReport,
    ) -> Sequence[EntryEffect]:
        """Apply a report of the service that workspaces received elsewhere."""
        self._pool(report.pool).ledger.apply_report(now, report)
        return ()

    def peer_linked(self, now: float, entry: str) -> Sequence[Strike]:
        """Handle a new link to another entry; return the active strikes."""
        strike_sync = self._shared.strike_sync
        strikes = [
            replace(strike, number=strike_sync.next_number())
            for strike in self._shared.strikes.active(now)
        ]
        strike_sync.track_peer(entry, strikes[-1].number if strikes else 0)
        return strikes

    def peer_lost(self, now: float, entry: str) -> Sequence[EntryEffect]:
        """Handle the loss of the link to another entry."""
        for pool in self._pools.values():
            pool.ledger.remove_peer(entry)
        self._shared.strike_sync.untrack_peer(entry)
        return self._shared.strike_sync.due(now)

    def apply_strike(self, now: float, strike: Strike) -> Sequence[EntryEffect]:
        """Record that a request was running when a backend server crashed."""
        self._shared.strikes.add(now, strike)
        return ()

    def strike_acknowledged(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[EntryEffect]:
        """Handle another entry's acknowledgement of strikes up to a number."""
        self._shared.strike_sync.acknowledge(entry, number)
        return self._shared.strike_sync.due(now)

    def deliver_rejection(
        self, now: float, reject: Reject
    ) -> Sequence[EntryEffect]:
        """Return an error response, or delay it until peers have the strike."""
        return self._shared.strike_sync.deliver(now, reject)

    def tick(self, now: float) -> Sequence[EntryEffect]:
        """Reject overdue requests; refresh bids and reports that are due."""
        effects: list[EntryEffect] = []
        for pool in self._pools.values():
            effects.extend(pool.tick(now))
        effects.extend(self._shared.strike_sync.due(now))
        if now - self._cleanup_seconds >= _STRIKE_CLEANUP_SECONDS:
            self._cleanup_seconds = now
            self._shared.strikes.remove_expired(now)
        return effects

    def current_bids(self, side: str) -> Bids:
        """Return the current bids for a side, to be sent with a run request."""
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

    def _pool_of_attempt(self, attempt_id: str) -> PoolRouter | None:
        for pool in self._pools.values():
            if attempt_id in pool.attempts:
                return pool
        return None
