"""Chooses the next request of a pool: the lowest tag that may run."""

from __future__ import annotations

import math
from collections.abc import Mapping
from heapq import nsmallest
from typing import Final

from sardinetrack.fairness.invariant import ensure
from sardinetrack.fairness.ledger import Ledger
from sardinetrack.messages.api import BidRow, Bids
from sardinetrack.routing.api import RoutedRequest, WaitNotice, WaitReason
from sardinetrack.routing.attempt import AttemptRecord
from sardinetrack.routing.queue import QueuedRequest, RequestQueues
from sardinetrack.routing.shared import SharedState
from sardinetrack.routing.sides import Side, SideTable

MAX_BID_ROWS: Final = 16
"""Rows in the bids for a side; those omitted have the highest tags."""


class Scheduler:
    """Chooses among the workspaces of one pool by their tags."""

    def __init__(
        self,
        shared: SharedState,
        ledger: Ledger,
        queue: RequestQueues,
        sides: SideTable,
        attempts: Mapping[str, AttemptRecord],
    ) -> None:
        self._shared = shared
        self._ledger = ledger
        self._queue = queue
        self._sides = sides
        self._attempts = attempts

    def next_workspace(
        self,
        now: float,
        side: Side | None,
        granted: str = '',
    ) -> str | None:
        """Return the workspace whose request is next.

        A grant's workspace that has queued requests at other entries too is
        chosen when its tag is at most one charge above the lowest. Tags of
        different entries differ by that much; by this entry's lowest tag
        alone, a workspace that is served through other entries would starve
        here.

        :param now: monotonic time.
        :param side: that would run it, ``None`` while that is undecided.
        :param granted: the workspace that a grant names.
        :return: the workspace, ``None`` when no request may run there.
        """
        names = self._eligible(now, side)
        lowest = min(names, key=self._sort_key, default=None)
        if lowest is None or granted not in names:
            return lowest
        if not self._ledger.account(granted).peer_waiting:
            return lowest
        ahead = self._ledger.tag(granted) - self._ledger.tag(lowest)
        return granted if ahead <= self._ledger.charge_ahead else lowest

    def next_request(
        self,
        now: float,
        workspace: str,
        side: Side | None,
    ) -> QueuedRequest | None:
        """Return the first request of a workspace that may go to a side.

        A request that waits for another side does not block those behind it:
        a crash can leave as many such requests as its server ran.

        :param now: monotonic time.
        :param workspace: with queued requests.
        :param side: that would run it, ``None`` while that is undecided.
        :return: the request, ``None`` when the side is excluded for all.
        """
        return next(
            (
                queued
                for queued in self._queue.requests(workspace)
                if not self.is_excluded(now, queued, side)
            ),
            None,
        )

    def has_work_for(self, now: float, side: Side) -> bool:
        """Whether a side may run any of the queued requests."""
        return bool(self._eligible(now, side))

    def has_restricted_work(self, now: float) -> bool:
        """Whether some queue's first request may not run at every side."""
        heads = map(self._queue.head, self._queue.workspaces())
        return any(
            queued.failed_sides or self.is_suspect(now, queued.work)
            for queued in heads
        )

    def ensure_fair(self, now: float, workspace: str, side: Side) -> None:
        """Check that no eligible tag is lower by more than one charge."""
        bound = self._ledger.tag(workspace) - self._ledger.charge_ahead
        ensure(
            all(
                self._ledger.tag(name) >= bound
                for name in self._eligible(now, side)
            ),
            'no workspace is passed over by more than one charge',
        )

    def free_concurrency(self, workspace: str) -> int:
        """Return how many more requests a workspace may run.

        What is left of the limit at the last report is split among the
        entries with queued requests. If each entry could use all of it, every
        entry would fill it before it receives the reports of the others.
        """
        account = self._ledger.account(workspace)
        limit = self._shared.limits(workspace).concurrency
        left = limit - account.running - account.peer_running
        if not account.peers_waiting or left <= 0:
            return left
        unreported = account.running - account.reported_running
        share = math.ceil((left + unreported) / (1 + account.peers_waiting))
        return min(left, share - unreported)

    def is_suspect(self, now: float, work: RoutedRequest) -> bool:
        """Whether a request has an active strike."""
        return self._shared.strikes.count(now, work.fingerprint) > 0

    def wait_notice(self, now: float, queued: QueuedRequest) -> WaitNotice:
        """Return why the first request of a queue waits."""
        others = [
            side
            for side in self._sides.usable(now)
            if side.info.side not in queued.failed_sides
        ]
        return WaitNotice(
            queued.work.request_id,
            self._wait_reason(now, queued),
            tuple(sorted(queued.failed_sides)),
            tuple(sorted(side.info.side for side in others)),
            sum(side.limit for side in others),
        )

    def bids(self, pool: str, side: Side) -> Bids:
        """Return the current bids for a side."""
        names = [
            one
            for one in self._queue.workspaces()
            if self.free_concurrency(one) > 0
        ]
        names.sort(key=self._ledger.tag)
        rows = [self._bid_row(name) for name in names[:MAX_BID_ROWS]]
        rows.extend(self._peer_rows(names, MAX_BID_ROWS - len(rows)))
        return Bids(pool, side.grants_seen, tuple(rows))

    def _wait_reason(self, now: float, queued: QueuedRequest) -> WaitReason:
        workspace = queued.work.workspace
        if self.free_concurrency(workspace) <= 0:
            return WaitReason.AT_LIMIT
        usable = self._sides.usable(now)
        with_slots = [side for side in usable if side.limit]
        if not all(self.is_excluded(now, queued, side) for side in with_slots):
            return WaitReason.NO_SLOT
        if queued.failed_sides and self._has_alternative(now, queued):
            return WaitReason.AVOIDS
        return WaitReason.SUSPECT if with_slots else WaitReason.NO_SLOT

    def _eligible(self, now: float, side: Side | None) -> list[str]:
        """Return the workspaces with a request that may go to a side now."""
        return [
            name
            for name in self._queue.workspaces()
            if self.free_concurrency(name) > 0
            and self.next_request(now, name, side)
        ]

    def _peer_rows(self, names: list[str], count: int) -> list[BidRow]:
        """Return rows for workspaces with requests only at other entries."""
        if count <= 0:
            return []
        listed = set(names)
        others = (
            (tag, name)
            for name, tag in self._ledger.backlogged_elsewhere()
            if name not in listed
        )
        return [
            BidRow(name, tag, 0, 0) for tag, name in nsmallest(count, others)
        ]

    def _sort_key(self, workspace: str) -> tuple[float, int, float]:
        account = self._ledger.account(workspace)
        running = account.running + account.peer_running
        return (
            account.tag,
            running,
            self._queue.head(workspace).submitted_seconds,
        )

    def _bid_row(self, workspace: str) -> BidRow:
        work = self._queue.head(workspace).work
        weight = self._shared.limits(workspace).weight
        count = min(
            self._queue.waiting(workspace), self.free_concurrency(workspace)
        )
        return BidRow(
            workspace,
            self._ledger.tag(workspace),
            count,
            work.hint_cost / weight,
        )

    def is_excluded(
        self, now: float, queued: QueuedRequest, side: Side | None
    ) -> bool:
        """Whether a request must not go to a side.

        Two suspects on one server would both get a strike when it crashes,
        and the innocent one would be blocked with the other. On separate
        servers, only the request that crashes servers can get a second
        strike.
        """
        if side is None:
            return False
        name = side.info.side
        if name in queued.failed_sides and self._has_alternative(now, queued):
            return True
        if now < queued.excluded_until.get(name, 0):
            return True
        if not self.is_suspect(now, queued.work):
            return False
        return self._runs_suspect(side.info.backend_server)

    def _has_alternative(self, now: float, queued: QueuedRequest) -> bool:
        """Whether a side at which a request has not failed has slots.

        The side of a server that is unreachable stays linked and has none. A
        request reserved for such a side would wait until its caller gives up.
        """
        return any(
            side.limit and side.info.side not in queued.failed_sides
            for side in self._sides.usable(now)
        )

    def _runs_suspect(self, server: str) -> bool:
        return any(
            attempt.suspect and attempt.backend_server == server
            for attempt in self._attempts.values()
        )
