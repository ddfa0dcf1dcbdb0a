"""Routing in one pool: chooses the next request and its side."""

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
from sardinetrack.routing.admission_checks import AdmissionChecks
from sardinetrack.routing.api import (
    Dispatch,
    EntryEffect,
    Reject,
    RoutedRequest,
    SendToSide,
)
from sardinetrack.routing.attempt import AttemptRecord, rejection_for
from sardinetrack.routing.queue import QueuedRequest, RequestQueues
from sardinetrack.routing.reporting import Reporter
from sardinetrack.routing.scheduler import Scheduler
from sardinetrack.routing.shared import SharedState
from sardinetrack.routing.sides import Side, SideTable
from sardinetrack.routing.wait_notices import WaitNotices

BID_FANOUT: Final = 2
_MAX_SIDES_CHECKED: Final = 8
BID_REFRESH_SECONDS: Final = 6.0
_MAX_SIDE_WAIT_SECONDS: Final = 4.0
_REBID_SECONDS: Final = 0.25
_NO_SIDE_GRACE_SECONDS: Final = 2.0
_NO_GRANT: Final = Grant(0, 0)
"""Used for requests sent to a free slot without a grant."""


class PoolRouter:
    """Routes the requests of one pool at one entry and owns their queues."""

    def __init__(self, name: str, shared: SharedState) -> None:
        """Create a router without sides and requests.

        :param name: of the pool.
        :param shared: state that all pools of the entry share.
        """
        self.ledger = Ledger()
        self.queue = RequestQueues()
        self.sides = SideTable(shared.rng)
        self.attempts: dict[str, AttemptRecord] = {}
        self.open_requests = 0
        """Accepted requests without a response; each is queued or runs."""
        self._name = name
        self._shared = shared
        self._scheduler = Scheduler(
            shared,
            self.ledger,
            self.queue,
            self.sides,
            self.attempts,
        )
        self._checks = AdmissionChecks(shared, self.ledger, self.queue)
        self._wait_notices = WaitNotices(self.queue, self._scheduler)
        self._reporter = Reporter(name, shared.identity, self.ledger)
        self._slots_seen_seconds = float('-inf')
        self._rebid_seconds = float('-inf')

    def submit(self, now: float, work: RoutedRequest) -> Sequence[EntryEffect]:
        """Dispatch, queue or reject a new request."""
        if self.sides.has_slots():
            self._slots_seen_seconds = now
        elif self._lacks_slots(now):
            return (Reject(work.request_id, ErrorKind.NOT_RUN_NO_SERVER),)
        rejection = self._checks.check(now, work)
        if rejection is not None:
            return (rejection,)
        self._shared.retries.deposit()
        self.open_requests += 1
        return self.enqueue(now, QueuedRequest(work, now))

    def enqueue(
        self,
        now: float,
        queued: QueuedRequest,
        *,
        at_front: bool = False,
    ) -> Sequence[EntryEffect]:
        """Queue a request, and dispatch to free slots.

        :param now: monotonic time.
        :param queued: the request.
        :param at_front: it was dispatched before and goes to the front.
        :return: dispatches, or bids for it.
        """
        workspace = queued.work.workspace
        was_waiting = self.queue.waiting(workspace)
        queued.queued_seconds = now
        queued.reported_reason = None
        self.queue.put(queued, at_front=at_front)
        self._update_waiting(now, workspace)
        effects = list(self.dispatch_ready(now))
        if not was_waiting and self.queue.waiting(workspace):
            effects.extend(self.send_bids(now))
        return effects

    def dispatch_ready(self, now: float) -> Sequence[EntryEffect]:
        """Dispatch to sides with free slots, lowest tags first."""
        effects: list[EntryEffect] = []
        excluded: set[str] = set()
        while self.sides.has_free_slots():
            workspace = self._scheduler.next_workspace(now, None)
            if workspace is None:
                return effects
            affinity = self.queue.head(workspace).work.affinity
            side = self.sides.choose_free(now, affinity, excluded)
            if side is None:
                return effects
            effect = self._dispatch_next(now, side, _NO_GRANT, 'free slot')
            if effect is None:
                excluded.add(side.info.side)
            else:
                effects.append(effect)
        return effects

    def grant(
        self,
        now: float,
        side_name: str,
        grant: Grant,
    ) -> Sequence[EntryEffect]:
        """Use a granted slot for the lowest tag, or decline the grant."""
        side = self.sides.find(side_name)
        if side is None:
            return (SendToSide(side_name, Decline(grant.number)),)
        side.grants_seen = max(side.grants_seen, grant.number)
        effects: list[EntryEffect] = []
        while side.breaker.allows(now):
            effect = self._dispatch_next(now, side, grant, 'granted')
            if effect is None:
                break
            effects.append(effect)
            if isinstance(effect, Dispatch):
                return effects
        effects.append(SendToSide(side_name, Decline(grant.number)))
        return effects

    def initial_bids(self, now: float, side_name: str) -> Sequence[EntryEffect]:
        """Return the first bids for a new side."""
        side = self.sides.find(side_name)
        if side is None or not len(self.queue):
            return ()
        return (self._send_bid(now, side),)

    def update_load(
        self,
        now: float,
        side_name: str,
        load: SideLoad,
    ) -> Sequence[EntryEffect]:
        """Apply a load report, and dispatch to free slots."""
        side = self.sides.find(side_name)
        if side is None:
            return ()
        self.sides.update(side, load)
        self.ledger.adopt_virtual_time(load.virtual_time)
        return self.dispatch_ready(now)

    def send_bids(self, now: float) -> Sequence[EntryEffect]:
        """Send bids to a few random sides."""
        return [
            self._send_bid(now, side)
            for side in self.sides.choose_some(
                self.sides.usable(now), BID_FANOUT
            )
        ]

    def tick(self, now: float) -> Sequence[EntryEffect]:
        """Reject overdue requests; refresh bids and reports that are due."""
        ensure(
            self.open_requests == len(self.queue) + len(self.attempts),
            'each open request is queued or runs',
        )
        effects: list[EntryEffect] = []
        for queued in self.queue.overdue(now):
            self._update_waiting(now, queued.work.workspace)
            self.open_requests -= 1
            effects.append(rejection_for(queued, ErrorKind.NOT_RUN_DEADLINE))
        if self.sides.has_slots():
            self._slots_seen_seconds = now
        elif self._lacks_slots(now):
            effects.extend(self._reject_all(now))
        effects.extend(self.dispatch_ready(now))
        effects.extend(self._refresh_bids(now))
        effects.extend(self._rebid(now))
        effects.extend(self._wait_notices.due(now))
        effects.extend(self._reporter.due(now))
        return effects

    def cancel(self, now: float, request_id: str) -> None:
        """Remove a queued request."""
        queued = self.queue.remove(request_id)
        if queued is not None:
            self.open_requests -= 1
            self._update_waiting(now, queued.work.workspace)

    def attempt_settled(
        self, now: float, workspace: str
    ) -> Sequence[EntryEffect]:
        """Dispatch requests that waited for a settled attempt.

        :param now: monotonic time.
        :param workspace: whose attempt ended; it may have been at its limit.
        :return: dispatches, or bids for requests that the limit delayed.
        """
        effects = list(self.dispatch_ready(now))
        if (
            self.queue.waiting(workspace)
            and self._scheduler.free_concurrency(workspace) == 1
        ):
            effects.extend(self.send_bids(now))
        return effects

    def bids(self, side: Side) -> Bids:
        """Return the current bids for a side."""
        return self._scheduler.bids(self._name, side)

    def _dispatch_next(
        self,
        now: float,
        side: Side,
        grant: Grant,
        reason: str,
    ) -> Dispatch | Reject | None:
        workspace = self._scheduler.next_workspace(now, side, grant.workspace)
        if workspace is None:
            return None
        self._scheduler.ensure_fair(now, workspace, side)
        first = self._scheduler.next_request(now, workspace, side)
        if first is None:
            return None
        affinity = first.work.affinity
        cached = self.sides.caches_prefix(affinity, side.info.side)
        queued = self.queue.dequeue(
            now,
            first,
            (affinity,) if cached else (),
            lambda candidate: (
                not self._scheduler.is_excluded(now, candidate, side)
            ),
        )
        self._update_waiting(now, workspace)
        strikes = self._shared.strikes
        if strikes.blocked_seconds(now, queued.work.fingerprint) > 0:
            self.open_requests -= 1
            return rejection_for(queued, ErrorKind.CRASHES_SERVERS)
        return self._dispatch(now, queued, side, grant.number, reason)

    def _dispatch(
        self,
        now: float,
        queued: QueuedRequest,
        side: Side,
        grant: int,
        reason: str,
    ) -> Dispatch:
        work = queued.work
        queued.attempts += 1
        attempt = AttemptRecord(
            self._shared.attempt_id(),
            queued,
            side.info.side,
            side.info.backend_server,
            side.breaker.request_sent(),
            self._scheduler.is_suspect(now, work),
        )
        self.attempts[attempt.attempt_id] = attempt
        self._reporter.count_dispatch()
        tag = self.ledger.tag(work.workspace)
        weight = self._shared.limits(work.workspace).weight
        self.ledger.charge(
            now,
            attempt.attempt_id,
            work.workspace,
            work.hint_cost,
            weight,
        )
        self.sides.record_prefix(work.affinity, side.info.side)
        if not grant:
            side.free -= 1
        side.last_bid_seconds = now
        return Dispatch(
            work.request_id,
            attempt.attempt_id,
            side.info.side,
            grant,
            tag,
            min(_MAX_SIDE_WAIT_SECONDS, work.deadline_seconds - now),
            reason,
            attempt.suspect,
        )

    def _send_bid(self, now: float, side: Side) -> SendToSide:
        side.last_bid_seconds = now
        return SendToSide(side.info.side, self.bids(side))

    def _update_waiting(self, now: float, workspace: str) -> None:
        self.ledger.set_waiting(now, workspace, self.queue.waiting(workspace))

    def _refresh_bids(self, now: float) -> Sequence[EntryEffect]:
        if not len(self.queue):
            return ()
        return [
            self._send_bid(now, side)
            for side in self.sides.usable(now)
            if now - side.last_bid_seconds >= BID_REFRESH_SECONDS
        ]

    def _rebid(self, now: float) -> Sequence[EntryEffect]:
        """Bid again for requests that were excluded from sides with free slots.

        The earlier bid was declined, or was sent while the side was excluded
        for the request. Until the next refresh the side would be idle.
        """
        due = now - self._rebid_seconds >= _REBID_SECONDS
        if not due or not self._scheduler.has_restricted_work(now):
            return ()
        self._rebid_seconds = now
        sampled = self.sides.choose_some(
            self.sides.usable(now), _MAX_SIDES_CHECKED
        )
        eligible = [
            side for side in sampled if self._scheduler.has_work_for(now, side)
        ]
        return [self._send_bid(now, side) for side in eligible[:BID_FANOUT]]

    def _lacks_slots(self, now: float) -> bool:
        return now - self._slots_seen_seconds > _NO_SIDE_GRACE_SECONDS

    def _reject_all(self, now: float) -> Sequence[EntryEffect]:
        effects: list[EntryEffect] = []
        for queued in self.queue.clear():
            self._update_waiting(now, queued.work.workspace)
            self.open_requests -= 1
            effects.append(rejection_for(queued, ErrorKind.NOT_RUN_NO_SERVER))
        return effects
