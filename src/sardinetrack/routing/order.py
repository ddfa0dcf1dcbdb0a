"""Order of waiting work: the lowest tag that may run."""

from __future__ import annotations

import math
from collections.abc import Mapping
from heapq import nsmallest
from typing import Final

from sardinetrack.fairness.invariant import ensure
from sardinetrack.fairness.ledger import Ledger
from sardinetrack.messages.api import BidRow, Bids
from sardinetrack.routing.api import Held, HoldReason, Work
from sardinetrack.routing.attempt import Attempt
from sardinetrack.routing.queue import Waiting, WorkQueue
from sardinetrack.routing.shared import Shared
from sardinetrack.routing.sides import Side, SideTable

MAX_ROWS: Final = 16
"""Bids sent to a side; those cut off have the highest tags."""


class Order:
    """Chooses among the workspaces of one pool."""

    def __init__(
        self,
        shared: Shared,
        ledger: Ledger,
        queue: WorkQueue,
        sides: SideTable,
        attempts: Mapping[str, Attempt],
    ) -> None:
        """Wire the parts of one pool."""
        self._shared = shared
        self._ledger = ledger
        self._queue = queue
        self._sides = sides
        self._attempts = attempts

    def lowest(
        self,
        now: float,
        side: Side | None,
        granted: str = '',
    ) -> str | None:
        """Find the workspace that comes next.

        A grant's workspace that waits at other entries too is taken when its
        tag is at most one charge above the lowest. Tags of different entries
        differ by that much; by the own lowest alone, a workspace that is
        served through other entries would be passed over here for ever.

        :param now: monotonic time.
        :param side: where its work would go, ``None`` while that is open.
        :param granted: the workspace that a grant names.
        :return: the workspace, ``None`` when nothing may run there.
        """
        names = self._eligible(now, side)
        lowest = min(names, key=self._place, default=None)
        if lowest is None or granted not in names:
            return lowest
        if not self._ledger.account(granted).peer_waiting:
            return lowest
        ahead = self._ledger.tag(granted) - self._ledger.tag(lowest)
        return granted if ahead <= self._ledger.charge_ahead else lowest

    def next_of(
        self,
        now: float,
        workspace: str,
        side: Side | None,
    ) -> Waiting | None:
        """Find the first request of a workspace that may go to a side.

        One that waits for another side holds up nobody behind it: a crash
        can leave as many of them as its server ran.

        :param now: monotonic time.
        :param workspace: with waiting work.
        :param side: where it would go, ``None`` while that is open.
        :return: the request, ``None`` when the side is closed to all.
        """
        return next(
            (
                waiting
                for waiting in self._queue.line(workspace)
                if not self.closed(now, waiting, side)
            ),
            None,
        )

    def open_to_any(self, now: float, side: Side) -> bool:
        """Whether a side may take some of the waiting work."""
        return bool(self._eligible(now, side))

    def some_kept(self, now: float) -> bool:
        """Whether a request waits that not every side may take."""
        heads = map(self._queue.head, self._queue.workspaces())
        return any(
            waiting.avoid or self.suspect(now, waiting.work)
            for waiting in heads
        )

    def check(self, now: float, workspace: str, side: Side) -> None:
        """Check that nobody eligible is passed over beyond one charge."""
        bound = self._ledger.tag(workspace) - self._ledger.charge_ahead
        ensure(
            all(
                self._ledger.tag(name) >= bound
                for name in self._eligible(now, side)
            ),
            'no workspace is passed over by more than one charge',
        )

    def room(self, workspace: str) -> int:
        """Tell how many more requests a workspace may run.

        What is left of the limit at the last report is split among the
        entries with waiting work. Were all of it open to each, every entry
        would fill it before it hears of the others.
        """
        account = self._ledger.account(workspace)
        limit = self._shared.limits(workspace).concurrency
        left = limit - account.running - account.peer_running
        if not account.peers_waiting or left <= 0:
            return left
        unreported = account.running - account.reported_running
        share = math.ceil((left + unreported) / (1 + account.peers_waiting))
        return min(left, share - unreported)

    def suspect(self, now: float, work: Work) -> bool:
        """Whether a request was running when a server crashed."""
        return self._shared.strikes.count(now, work.fingerprint) > 0

    def hold(self, now: float, waiting: Waiting) -> Held:
        """Tell why a request that is first in its line waits."""
        others = [
            side
            for side in self._sides.usable(now)
            if side.info.side not in waiting.avoid
        ]
        return Held(
            waiting.work.request_id,
            self._hold_reason(now, waiting),
            tuple(sorted(waiting.avoid)),
            tuple(sorted(side.info.side for side in others)),
            sum(side.limit for side in others),
        )

    def bids(self, pool: str, side: Side) -> Bids:
        """Compute the present bids for a side."""
        names = [one for one in self._queue.workspaces() if self.room(one) > 0]
        names.sort(key=self._ledger.tag)
        rows = [self._row(name) for name in names[:MAX_ROWS]]
        rows.extend(self._known(names, MAX_ROWS - len(rows)))
        return Bids(pool, side.grants_seen, tuple(rows))

    def _hold_reason(self, now: float, waiting: Waiting) -> HoldReason:
        workspace = waiting.work.workspace
        if self.room(workspace) <= 0:
            return HoldReason.AT_LIMIT
        usable = self._sides.usable(now)
        with_slots = [side for side in usable if side.limit]
        if not all(self.closed(now, waiting, side) for side in with_slots):
            return HoldReason.NO_SLOT
        if waiting.avoid and self._elsewhere(now, waiting):
            return HoldReason.AVOIDS
        return HoldReason.SUSPECT if with_slots else HoldReason.NO_SLOT

    def _eligible(self, now: float, side: Side | None) -> list[str]:
        """List the workspaces whose head may go to a side now."""
        return [
            name
            for name in self._queue.workspaces()
            if self.room(name) > 0 and self.next_of(now, name, side)
        ]

    def _known(self, names: list[str], count: int) -> list[BidRow]:
        """Tell tags of workspaces that wait only at other entries."""
        if count <= 0:
            return []
        told = set(names)
        others = (
            (tag, name)
            for name, tag in self._ledger.backlogged_elsewhere()
            if name not in told
        )
        return [
            BidRow(name, tag, 0, 0) for tag, name in nsmallest(count, others)
        ]

    def _place(self, workspace: str) -> tuple[float, int, float]:
        account = self._ledger.account(workspace)
        running = account.running + account.peer_running
        return account.tag, running, self._queue.head(workspace).since_seconds

    def _row(self, workspace: str) -> BidRow:
        work = self._queue.head(workspace).work
        weight = self._shared.limits(workspace).weight
        waiting = min(self._queue.waiting(workspace), self.room(workspace))
        return BidRow(
            workspace,
            self._ledger.tag(workspace),
            waiting,
            work.hint_cost / weight,
        )

    def closed(self, now: float, waiting: Waiting, side: Side | None) -> bool:
        """Whether a request must not go to a side.

        Two suspects on one server would both be struck when it crashes, and
        the innocent one condemned with the other. Kept apart, only the one
        that crashes servers can collect a second strike.
        """
        if side is None:
            return False
        name = side.info.side
        if name in waiting.avoid and self._elsewhere(now, waiting):
            return True
        if now < waiting.closed_until.get(name, 0):
            return True
        if not self.suspect(now, waiting.work):
            return False
        return self._suspect_at(side.info.backend_server)

    def _elsewhere(self, now: float, waiting: Waiting) -> bool:
        """Whether a side that did not fail a request has slots.

        The side of a server that is gone is linked and has none. A request
        that was kept for such a one would wait for as long as its caller does.
        """
        return any(
            side.limit and side.info.side not in waiting.avoid
            for side in self._sides.usable(now)
        )

    def _suspect_at(self, server: str) -> bool:
        return any(
            attempt.suspect and attempt.backend_server == server
            for attempt in self._attempts.values()
        )
