"""Naive policies to compare the project's decisions with."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from sardinetrack.admission.api import Admission, SendGrant, StartRequest
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.errors.api import ErrorKind
from sardinetrack.messages.api import BidRow, Bids, SideLoad, SidePhase
from sardinetrack.messages.run import AttemptStatus
from sardinetrack.routing.api import Dispatch, Reject, RoutingPolicy
from sardinetrack.routing.router import Router

UNLIMITED_SECONDS = 1e9


class RandomRouting(RoutingPolicy):
    """Dispatches each request immediately to a random side."""

    def __init__(self, identity, random):
        self._identity = identity
        self._random = random
        self._number = 0
        self._sides = []
        self._limits = {}
        self._outstanding = defaultdict(int)
        self._attempts = {}

    def configure(self, now, workspaces, pools):
        """Apply the workspaces' limits."""
        self._limits = {one.name: one.limits.waiting for one in workspaces}
        return ()

    def side_connected(self, now, info):
        """Add a side."""
        self._sides.append(info.side)
        return ()

    def side_disconnected(self, now, side):
        """Remove a side."""
        self._sides.remove(side)
        return ()

    def submit(self, now, work):
        """Dispatch a request or reject it, without queueing."""
        if not self._sides:
            return (Reject(work.request_id, ErrorKind.NOT_RUN_NO_SERVER),)
        if (
            self._outstanding[work.workspace]
            >= 2 * self._limits[work.workspace]
        ):
            return (Reject(work.request_id, ErrorKind.QUEUE_FULL),)
        self._outstanding[work.workspace] += 1
        return (self._dispatch(work),)

    def settle_attempt(self, now, attempt_id, end, *, cost, answered):
        """Dispatch again if it did not start; reject it if it failed."""
        work = self._attempts.pop(attempt_id)
        self._outstanding[work.workspace] -= 1
        if end.value == 'not_started' and self._sides:
            self._outstanding[work.workspace] += 1
            return (self._dispatch(work),)
        if end.value != 'whole':
            return (Reject(work.request_id, ErrorKind.SERVER_FAILED),)
        return ()

    def _dispatch(self, work):
        self._number += 1
        identity = self._identity
        attempt_id = f'{identity.entry}.{identity.incarnation}.{self._number}'
        self._attempts[attempt_id] = work
        side = self._random.choice(self._sides)
        return Dispatch(
            work.request_id,
            attempt_id,
            side,
            0,
            0,
            UNLIMITED_SECONDS,
            'random',
        )

    def current_bids(self, side):
        """Return empty bids."""
        return Bids('', 0, ())

    def _ignore(self, *args):
        return ()

    update_side_load = _ignore
    cancel = _ignore
    grant = _ignore
    adjust_charge = _ignore
    apply_service_report = _ignore
    peer_lost = _ignore
    apply_strike = _ignore
    strike_acknowledged = _ignore
    deliver_rejection = _ignore
    peer_linked = _ignore
    tick = _ignore


class FirstComeAdmission(Admission):
    """Starts requests in the order of their arrival (FIFO)."""

    def __init__(self, incarnation, limit):
        self._incarnation = incarnation
        self._limit = limit
        self._running = set()
        self._queue = []

    def arrive(self, now, arrival):
        """Queue a request."""
        self._queue.append(arrival.attempt_id)
        return self._start_next()

    def finished(self, now, attempt_id, *, is_complete, cost, stopped=False):
        """Start the next requests."""
        self._running.discard(attempt_id)
        return self._start_next()

    def resolve_status(self, now, attempt_id, *, cancel):
        """Remove a queued request."""
        if attempt_id in self._queue:
            self._queue.remove(attempt_id)
        return AttemptStatus.NOT_STARTED, ()

    def load(self):
        """Return a load report without any figures."""
        return SideLoad(self._incarnation, SidePhase.SERVING, 0, 0, 0)

    def _start_next(self):
        effects = []
        while self._queue and len(self._running) < self._limit:
            attempt_id = self._queue.pop(0)
            self._running.add(attempt_id)
            effects.append(StartRequest(attempt_id))
        return effects

    def _ignore(self, *args):
        return ()

    update_bids = _ignore
    decline = _ignore
    entry_disconnected = _ignore
    resize = _ignore
    begin_rest = _ignore
    end_rest = _ignore
    drain = _ignore
    end_drain = _ignore
    tick = _ignore


class FirstComePolicy:
    """First come, first served, at a random side."""

    def routing(self, identity, random: Random):
        """Build an entry's decisions."""
        return RandomRouting(identity, random)

    def admission(self, incarnation, limit):
        """Build a side's decisions."""
        return FirstComeAdmission(incarnation, limit)


class IsolatedRouter(Router):
    """Fair among its own workspaces; ignores the reports of other entries."""

    def apply_service_report(self, now, report):
        """Ignore a service report."""
        return ()


class RoundRobinAdmission(SlotAdmission):
    """Serves entries round robin, without regard to workspaces."""

    def __init__(self, incarnation, limit):
        super().__init__(incarnation, limit)
        self._served = defaultdict(int)

    def update_bids(self, now, entry, bids):
        """Replace the workspaces' tags by the number of grants of the entry."""
        waiting = sum(row.waiting for row in bids.rows)
        start_tag = max(self._served[entry], min(self._served.values()))
        self._served[entry] = start_tag
        rows = (BidRow(entry, start_tag, waiting, 1),) if waiting else ()
        effects = super().update_bids(
            now, entry, Bids('', bids.grants_seen, rows)
        )
        for effect in effects:
            if isinstance(effect, SendGrant):
                self._served[effect.entry] += 1
        return effects


class PerEntryPolicy:
    """Fair queueing in each entry, without service reports between entries."""

    def routing(self, identity, random: Random):
        """Build an entry's decisions."""
        return IsolatedRouter(identity, random)

    def admission(self, incarnation, limit):
        """Build a side's decisions."""
        return RoundRobinAdmission(incarnation, limit)
