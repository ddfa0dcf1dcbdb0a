"""Naive policies that the product's decisions are compared with."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from sardinetrack.admission.api import Admission, SendGrant, Start
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.errors.api import ErrorKind
from sardinetrack.messages.api import BidRow, Bids, SideLoad, SidePhase
from sardinetrack.messages.run import Fate
from sardinetrack.routing.api import Dispatch, Reject, Routing
from sardinetrack.routing.router import Router

FOREVER_SECONDS = 1e9


class RandomRouting(Routing):
    """Sends each request to a random side at once."""

    def __init__(self, identity, random):
        self._identity = identity
        self._random = random
        self._number = 0
        self._sides = []
        self._limits = {}
        self._outstanding = defaultdict(int)
        self._attempts = {}

    def configure(self, now, workspaces, pools):
        """Take the limits."""
        self._limits = {one.name: one.limits.waiting for one in workspaces}
        return ()

    def side_up(self, now, info):
        """Use a side."""
        self._sides.append(info.side)
        return ()

    def side_down(self, now, side):
        """Use a side no longer."""
        self._sides.remove(side)
        return ()

    def submit(self, now, work):
        """Dispatch at once."""
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
        """Dispatch again or give up."""
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
            FOREVER_SECONDS,
            'random',
        )

    def bids_for(self, side):
        """Bid for nothing."""
        return Bids('', 0, ())

    def _ignore(self, *args):
        return ()

    update_side_load = _ignore
    cancel = _ignore
    grant = _ignore
    adjust_charge = _ignore
    peer_service = _ignore
    peer_lost = _ignore
    apply_strike = _ignore
    strike_noted = _ignore
    deliver_rejection = _ignore
    peer_linked = _ignore
    tick = _ignore


class FirstComeAdmission(Admission):
    """Starts requests in the order of their arrival."""

    def __init__(self, incarnation, limit):
        self._incarnation = incarnation
        self._limit = limit
        self._running = set()
        self._line = []

    def arrive(self, now, arrival):
        """Join the line."""
        self._line.append(arrival.attempt_id)
        return self._turn()

    def finished(self, now, attempt_id, *, whole, cost, stopped=False):
        """Start the next."""
        self._running.discard(attempt_id)
        return self._turn()

    def query(self, now, attempt_id, *, cancel):
        """Take out of the line."""
        if attempt_id in self._line:
            self._line.remove(attempt_id)
        return Fate.NOT_STARTED, ()

    def load(self):
        """Tell nothing."""
        return SideLoad(self._incarnation, SidePhase.SERVING, 0, 0, 0)

    def _turn(self):
        effects = []
        while self._line and len(self._running) < self._limit:
            attempt_id = self._line.pop(0)
            self._running.add(attempt_id)
            effects.append(Start(attempt_id))
        return effects

    def _ignore(self, *args):
        return ()

    bids = _ignore
    decline = _ignore
    entry_lost = _ignore
    resize = _ignore
    drain = _ignore
    tick = _ignore


class FirstComePolicy:
    """First come, first served, at a random server."""

    def routing(self, identity, random: Random):
        """Build an entry's decisions."""
        return RandomRouting(identity, random)

    def admission(self, incarnation, limit):
        """Build a side's decisions."""
        return FirstComeAdmission(incarnation, limit)


class LonelyRouter(Router):
    """Fair among its own workspaces; hears of no other entry."""

    def peer_service(self, now, report):
        """Hear nothing."""
        return ()


class TurnAdmission(SlotAdmission):
    """Serves entries in turn, blind to workspaces."""

    def __init__(self, incarnation, limit):
        super().__init__(incarnation, limit)
        self._served = defaultdict(int)

    def bids(self, now, entry, bids):
        """Replace tags by the turns of the entry."""
        waiting = sum(row.waiting for row in bids.rows)
        turn = max(self._served[entry], min(self._served.values()))
        self._served[entry] = turn
        rows = (BidRow(entry, turn, waiting, 1),) if waiting else ()
        effects = super().bids(now, entry, Bids('', bids.grants_seen, rows))
        for effect in effects:
            if isinstance(effect, SendGrant):
                self._served[effect.entry] += 1
        return effects


class PerEntryPolicy:
    """Fair queueing in each entry without sharing."""

    def routing(self, identity, random: Random):
        """Build an entry's decisions."""
        return LonelyRouter(identity, random)

    def admission(self, incarnation, limit):
        """Build a side's decisions."""
        return TurnAdmission(incarnation, limit)
