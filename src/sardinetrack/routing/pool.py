"""Routing in one pool: which workspace is next, and at which side."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.errors.api import ErrorKind
from sardinetrack.fairness.invariant import ensure
from sardinetrack.fairness.ledger import Ledger
from sardinetrack.messages.api import (
    Bids,
    Decline,
    Grant,
    SideLoad,
)
from sardinetrack.routing.api import (
    Dispatch,
    EntryEffect,
    Reject,
    SendToSide,
    Work,
)
from sardinetrack.routing.attempt import Attempt, give_up
from sardinetrack.routing.gate import Gate
from sardinetrack.routing.holds import Holds
from sardinetrack.routing.order import Order
from sardinetrack.routing.queue import Waiting, WorkQueue
from sardinetrack.routing.reporting import Reporter
from sardinetrack.routing.shared import Shared
from sardinetrack.routing.sides import Side, SideTable

SIDES_TOLD: Final = 2
_SIDES_LOOKED_AT: Final = 8
REFRESH_SECONDS: Final = 6.0
_HOLD_SECONDS: Final = 4.0
_RETELL_SECONDS: Final = 0.25
_NO_SIDE_SECONDS: Final = 2.0
_DIRECT: Final = Grant(0, 0)
"""Stands for no grant."""


class PoolRouter:
    """Owns the waiting work of one pool at one entry."""

    def __init__(self, name: str, shared: Shared) -> None:
        """Start empty.

        :param name: of the pool.
        :param shared: what all pools of the entry share.
        """
        self.ledger = Ledger()
        self.queue = WorkQueue()
        self.sides = SideTable(shared.random)
        self.attempts: dict[str, Attempt] = {}
        self.open_requests = 0
        """Taken in and not answered; each waits or runs."""
        self._name = name
        self._shared = shared
        self._order = Order(
            shared,
            self.ledger,
            self.queue,
            self.sides,
            self.attempts,
        )
        self._gate = Gate(shared, self.ledger, self.queue)
        self._holds = Holds(self.queue, self._order)
        self._reporter = Reporter(name, shared.identity, self.ledger)
        self._side_seconds = float('-inf')
        self._retold_seconds = float('-inf')

    def submit(self, now: float, work: Work) -> Sequence[EntryEffect]:
        """Dispatch, queue or reject a new request."""
        if self.sides.some_slots():
            self._side_seconds = now
        elif self._no_side(now):
            return (Reject(work.request_id, ErrorKind.NOT_RUN_NO_SERVER),)
        refusal = self._gate.check(now, work)
        if refusal is not None:
            return (refusal,)
        self._shared.retries.first_attempt()
        self.open_requests += 1
        return self.enqueue(now, Waiting(work, now))

    def enqueue(
        self,
        now: float,
        waiting: Waiting,
        *,
        first: bool = False,
    ) -> Sequence[EntryEffect]:
        """Put a request in line, and use what is free.

        :param now: monotonic time.
        :param waiting: the request.
        :param first: it was taken before and goes to the head.
        :return: dispatches, or bids for it.
        """
        workspace = waiting.work.workspace
        was_waiting = self.queue.waiting(workspace)
        waiting.queued_seconds = now
        waiting.told_hold = None
        self.queue.put(waiting, first=first)
        self._count(now, workspace)
        effects = list(self.pump(now))
        if not was_waiting and self.queue.waiting(workspace):
            effects.extend(self.tell(now))
        return effects

    def pump(self, now: float) -> Sequence[EntryEffect]:
        """Send to sides believed free, lowest tags first."""
        effects: list[EntryEffect] = []
        closed: set[str] = set()
        while self.sides.some_free():
            workspace = self._order.lowest(now, None)
            if workspace is None:
                return effects
            affinity = self.queue.head(workspace).work.affinity
            side = self.sides.free(now, affinity, closed)
            if side is None:
                return effects
            step = self._next(now, side, _DIRECT, 'free slot')
            if step is None:
                closed.add(side.info.side)
            else:
                effects.append(step)
        return effects

    def grant(
        self,
        now: float,
        side_name: str,
        grant: Grant,
    ) -> Sequence[EntryEffect]:
        """Use a granted slot for the lowest tag, or decline it."""
        side = self.sides.find(side_name)
        if side is None:
            return (SendToSide(side_name, Decline(grant.number)),)
        side.grants_seen = max(side.grants_seen, grant.number)
        effects: list[EntryEffect] = []
        while side.breaker.allows(now):
            step = self._next(now, side, grant, 'granted')
            if step is None:
                break
            effects.append(step)
            if isinstance(step, Dispatch):
                return effects
        effects.append(SendToSide(side_name, Decline(grant.number)))
        return effects

    def welcome(self, now: float, side_name: str) -> Sequence[EntryEffect]:
        """Tell a new side what waits."""
        side = self.sides.find(side_name)
        if side is None or not len(self.queue):
            return ()
        return (self._bid(now, side),)

    def load(
        self,
        now: float,
        side_name: str,
        load: SideLoad,
    ) -> Sequence[EntryEffect]:
        """Take note of a side's load, and use what is free."""
        side = self.sides.find(side_name)
        if side is None:
            return ()
        self.sides.learn(side, load)
        self.ledger.meet(load.virtual_time)
        return self.pump(now)

    def tell(self, now: float) -> Sequence[EntryEffect]:
        """Send bids to a few sides."""
        return [
            self._bid(now, side)
            for side in self.sides.some_of(self.sides.usable(now), SIDES_TOLD)
        ]

    def tick(self, now: float) -> Sequence[EntryEffect]:
        """Expire deadlines; refresh bids and reports that are due."""
        ensure(
            self.open_requests == len(self.queue) + len(self.attempts),
            'each open request waits or runs',
        )
        effects: list[EntryEffect] = []
        for waiting in self.queue.overdue(now):
            self._count(now, waiting.work.workspace)
            self.open_requests -= 1
            effects.append(give_up(waiting, ErrorKind.NOT_RUN_DEADLINE))
        if self.sides.some_slots():
            self._side_seconds = now
        elif self._no_side(now):
            effects.extend(self._give_up_all(now))
        effects.extend(self.pump(now))
        effects.extend(self._refresh(now))
        effects.extend(self._retell(now))
        effects.extend(self._holds.due(now))
        effects.extend(self._reporter.due(now))
        return effects

    def cancel(self, now: float, request_id: str) -> None:
        """Forget a waiting request."""
        waiting = self.queue.remove(request_id)
        if waiting is not None:
            self.open_requests -= 1
            self._count(now, waiting.work.workspace)

    def reopened(self, now: float, workspace: str) -> Sequence[EntryEffect]:
        """Use what a settled attempt made possible.

        :param now: monotonic time.
        :param workspace: whose attempt ended; it may have been at its limit.
        :return: dispatches, or bids for work that was held at the limit.
        """
        effects = list(self.pump(now))
        if self.queue.waiting(workspace) and self._order.room(workspace) == 1:
            effects.extend(self.tell(now))
        return effects

    def bids(self, side: Side) -> Bids:
        """Compute the present bids for a side."""
        return self._order.bids(self._name, side)

    def _next(
        self,
        now: float,
        side: Side,
        grant: Grant,
        reason: str,
    ) -> Dispatch | Reject | None:
        workspace = self._order.lowest(now, side, grant.workspace)
        if workspace is None:
            return None
        self._order.check(now, workspace, side)
        first = self._order.next_of(now, workspace, side)
        if first is None:
            return None
        affinity = first.work.affinity
        warm = self.sides.warm(affinity, side.info.side)
        waiting = self.queue.take(
            now,
            first,
            (affinity,) if warm else (),
            lambda near: not self._order.closed(now, near, side),
        )
        self._count(now, workspace)
        strikes = self._shared.strikes
        if strikes.condemned_seconds(now, waiting.work.fingerprint) > 0:
            self.open_requests -= 1
            return give_up(waiting, ErrorKind.CRASHES_SERVERS)
        return self._dispatch(now, waiting, side, grant.number, reason)

    def _dispatch(
        self,
        now: float,
        waiting: Waiting,
        side: Side,
        grant: int,
        reason: str,
    ) -> Dispatch:
        work = waiting.work
        waiting.attempts += 1
        attempt = Attempt(
            self._shared.attempt_id(),
            waiting,
            side.info.side,
            side.info.backend_server,
            side.breaker.sent(),
            self._order.suspect(now, work),
        )
        self.attempts[attempt.attempt_id] = attempt
        self._reporter.dispatched()
        tag = self.ledger.tag(work.workspace)
        weight = self._shared.limits(work.workspace).weight
        self.ledger.charge(
            now,
            attempt.attempt_id,
            work.workspace,
            work.hint_cost,
            weight,
        )
        self.sides.remember(work.affinity, side.info.side)
        if not grant:
            side.free -= 1
        side.bid_seconds = now
        return Dispatch(
            work.request_id,
            attempt.attempt_id,
            side.info.side,
            grant,
            tag,
            min(_HOLD_SECONDS, work.deadline_seconds - now),
            reason,
            attempt.suspect,
        )

    def _bid(self, now: float, side: Side) -> SendToSide:
        side.bid_seconds = now
        return SendToSide(side.info.side, self.bids(side))

    def _count(self, now: float, workspace: str) -> None:
        self.ledger.wait(now, workspace, self.queue.waiting(workspace))

    def _refresh(self, now: float) -> Sequence[EntryEffect]:
        if not len(self.queue):
            return ()
        return [
            self._bid(now, side)
            for side in self.sides.usable(now)
            if now - side.bid_seconds >= REFRESH_SECONDS
        ]

    def _retell(self, now: float) -> Sequence[EntryEffect]:
        """Bid again for work that was kept from sides with room.

        Its bid there was declined, or was made when the side was closed to
        it. Until the next refresh the side would stand idle beside it.
        """
        due = now - self._retold_seconds >= _RETELL_SECONDS
        if not due or not self._order.some_kept(now):
            return ()
        self._retold_seconds = now
        asked = self.sides.some_of(self.sides.usable(now), _SIDES_LOOKED_AT)
        fit = [side for side in asked if self._order.open_to_any(now, side)]
        return [self._bid(now, side) for side in fit[:SIDES_TOLD]]

    def _no_side(self, now: float) -> bool:
        return now - self._side_seconds > _NO_SIDE_SECONDS

    def _give_up_all(self, now: float) -> Sequence[EntryEffect]:
        effects: list[EntryEffect] = []
        for waiting in self.queue.clear():
            self._count(now, waiting.work.workspace)
            self.open_requests -= 1
            effects.append(give_up(waiting, ErrorKind.NOT_RUN_NO_SERVER))
        return effects
