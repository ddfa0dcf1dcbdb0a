"""Service ledger of one pool: what workspaces received across the fleet.

Each entry keeps its own ledger. Settled service only grows and is reported in
absolute counters, so that the next report makes up for a lost one. The tag
orders workspaces: settled service plus the charges of running requests.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from sardinetrack.fairness.account import Account, Charge, Peer
from sardinetrack.fairness.invariant import ensure
from sardinetrack.messages.api import ServiceReport, ServiceRow

DRIFT_GAIN: Final = 0.125
"""Fraction of the difference in settled service to a peer that each of its
reports corrects."""

MAX_CHARGE_MEAN_COSTS: Final = 2.0
"""Most that a running request is charged in advance, in mean costs of the pool.

An estimate may be four times too high, and the largest cost twenty times the
mean. Charged in full at the start, such a request shuts its workspace out
for as long as others need to catch up with service not received yet.
"""
MAX_LOST_PEERS: Final = 64
SYNC_SECONDS: Final = 5.0
"""After this time without a synced peer a ledger counts as synced."""
_COST_GAIN: Final = 0.05
_ROUNDING: Final = 1e-6


class Ledger:
    """Tags of all workspaces of one pool, as one entry knows them."""

    def __init__(self) -> None:
        self.virtual_time = float(0)
        self.synced = False
        self._accounts: dict[str, Account] = {}
        self._charges: dict[str, Charge] = {}
        self._peers: dict[str, Peer] = {}
        self._mean_cost = math.inf
        self._costs = 0
        self._first_wait_seconds: float | None = None

    @property
    def charge_ahead(self) -> float:
        """Most that one request is charged in advance at weight 1."""
        return MAX_CHARGE_MEAN_COSTS * self._mean_cost

    @property
    def live_peers(self) -> int:
        """Number of other entries that report."""
        return sum(peer.live for peer in self._peers.values())

    def account(self, workspace: str) -> Account:
        """Return the account of a workspace; open one if there is none.

        :param workspace: its name.
        :return: the account itself, not a copy.
        """
        account = self._accounts.get(workspace)
        if account is None:
            account = Account(settled_service=self.virtual_time)
            self._accounts[workspace] = account
        return account

    def tag(self, workspace: str) -> float:
        """Return the tag of a workspace."""
        return self.account(workspace).tag

    def backlogged(self) -> Iterable[Account]:
        """Iterate over the accounts with waiting requests at any entry."""
        return (one for one in self._accounts.values() if one.backlogged)

    def backlogged_elsewhere(self) -> Iterable[tuple[str, float]]:
        """Iterate over tags of workspaces with waiting requests at peers."""
        return (
            (name, account.tag)
            for name, account in self._accounts.items()
            if account.peer_waiting > 0
        )

    def adopt_virtual_time(self, virtual_time: float) -> None:
        """Adopt the fleet's virtual time while unsynced.

        :param virtual_time: as a side reports it.
        """
        if self.synced or virtual_time <= self.virtual_time:
            return
        self.virtual_time = virtual_time
        for account in self._accounts.values():
            account.settled_service = max(account.settled_service, virtual_time)

    def set_waiting(self, now: float, workspace: str, waiting: int) -> None:
        """Set how many requests of a workspace wait here.

        :param now: monotonic time.
        :param workspace: its name.
        :param waiting: requests that wait at this entry.
        """
        self._sync_by_time(now)
        account = self.account(workspace)
        was_backlogged = account.backlogged
        account.waiting = waiting
        account.changed_seconds = now
        if account.backlogged and not was_backlogged:
            self._lift(account)

    def charge(
        self,
        now: float,
        attempt_id: str,
        workspace: str,
        estimate: float,
        weight: float,
    ) -> None:
        """Charge an attempt its estimated cost.

        :param now: monotonic time.
        :param attempt_id: names the charge until it is settled.
        :param workspace: who pays.
        :param estimate: estimated cost, in cost units.
        :param weight: the workspace's weight.
        """
        account = self.account(workspace)
        self._advance(account)
        self._init_mean_cost(estimate)
        charge = Charge(workspace, weight, estimate / weight)
        self._charges[attempt_id] = charge
        self._set_outstanding(account, charge, charge.target(self.charge_ahead))
        account.running += 1
        account.changed_seconds = now

    def progress(self, now: float, attempt_id: str, cost: float) -> None:
        """Settle the cost of an attempt so far.

        :param now: monotonic time.
        :param attempt_id: of a charge; unknown ones are ignored.
        :param cost: cost units received so far.
        """
        charge = self._charges.get(attempt_id)
        if charge is None:
            return
        account = self.account(charge.workspace)
        grown = max(0, cost / charge.weight - charge.settled)
        ensure(grown >= 0, 'progress never lowers settled service')
        charge.settled += grown
        account.settled_service += grown
        account.service += grown
        self._set_outstanding(account, charge, charge.target(self.charge_ahead))
        account.changed_seconds = now

    def settle(self, now: float, attempt_id: str, cost: float) -> None:
        """Close a charge at its final cost.

        :param now: monotonic time.
        :param attempt_id: of a charge; unknown ones are ignored.
        :param cost: cost units received in all.
        """
        self.progress(now, attempt_id, cost)
        charge = self._charges.pop(attempt_id, None)
        if charge is None:
            return
        self._update_mean_cost(cost)
        account = self.account(charge.workspace)
        self._set_outstanding(account, charge, 0)
        account.running -= 1
        ensure(account.running >= 0, 'a charge is settled only once')
        if not account.running:
            ensure(
                abs(account.outstanding)
                <= _ROUNDING * (1 + account.settled_service),
                'nothing is outstanding when nothing runs',
            )
            account.outstanding = 0

    def apply_report(self, now: float, report: ServiceReport) -> None:
        """Apply a peer's report.

        :param now: monotonic time.
        :param report: its rows replace the peer's earlier rows.
        """
        peer = self._peers.get(report.entry)
        if peer is None or peer.incarnation != report.incarnation:
            self.remove_peer(report.entry)
            peer = Peer(report.incarnation)
            self._peers[report.entry] = peer
        peer.live = True
        for row in report.rows:
            self._apply_row(peer, row, report)
        self.synced = self.synced or report.synced

    def remove_peer(self, entry: str) -> None:
        """Mark a peer as disconnected; its charges count as service received.

        Dropping its charges instead would lower tags and give its workspaces
        service for free. Its counters stay, so that a peer that reconnects
        adds only the service since its last report.

        :param entry: name of the peer.
        """
        peer = self._peers.get(entry)
        if peer is None:
            return
        peer.live = False
        for name, row in peer.rows.items():
            account = self.account(name)
            account.settled_service += row.outstanding
            settled = ServiceRow(name, row.service + row.outstanding, 0, 0)
            self._replace(account, row, settled)
            peer.rows[name] = settled
        self._drop_lost_peers()

    def rows(self, changed_since_seconds: float) -> tuple[ServiceRow, ...]:
        """Return the rows of a report.

        :param changed_since_seconds: leave out accounts unchanged since.
        :return: one row for each account.
        """
        return tuple(
            self._report_row(name, account)
            for name, account in self._accounts.items()
            if account.changed_seconds >= changed_since_seconds
        )

    def _report_row(self, name: str, account: Account) -> ServiceRow:
        account.reported_running = account.running
        return ServiceRow(
            name,
            account.service,
            account.running,
            account.waiting,
            account.settled_service,
            account.outstanding,
        )

    def _sync_by_time(self, now: float) -> None:
        """Count as synced after a while without any synced peer.

        A fleet whose entries all start together has none; without this its
        entries would never align their settled service.
        """
        if self._first_wait_seconds is None:
            self._first_wait_seconds = now
        elif now - self._first_wait_seconds >= SYNC_SECONDS:
            self.synced = True

    def _set_outstanding(
        self, account: Account, charge: Charge, target: float
    ) -> None:
        account.outstanding += target - charge.outstanding
        charge.outstanding = target

    def _init_mean_cost(self, estimate: float) -> None:
        if math.isinf(self._mean_cost):
            self._mean_cost = estimate

    def _update_mean_cost(self, cost: float) -> None:
        if not cost:
            return
        self._costs += 1
        gain = max(_COST_GAIN, 1 / self._costs)
        self._mean_cost += gain * (cost - self._mean_cost)

    def _apply_row(
        self,
        peer: Peer,
        row: ServiceRow,
        report: ServiceReport,
    ) -> None:
        account = self._accounts.get(row.workspace)
        if account is None:
            account = self.account(row.workspace)
            account.settled_service = max(
                account.settled_service, row.reported_settled_service
            )
        was_backlogged = account.backlogged
        earlier = peer.rows.get(row.workspace)
        if earlier is not None:
            account.settled_service += max(0, row.service - earlier.service)
        self._replace(account, earlier, row)
        peer.rows[row.workspace] = row
        if report.synced:
            self._align(account, row.reported_settled_service)
        if account.backlogged and not was_backlogged:
            self._lift(account)

    def _drop_lost_peers(self) -> None:
        lost = [name for name, peer in self._peers.items() if not peer.live]
        for name in lost[:-MAX_LOST_PEERS]:
            self._peers.pop(name)

    def _replace(
        self,
        account: Account,
        earlier: ServiceRow | None,
        row: ServiceRow,
    ) -> None:
        if earlier is not None:
            account.peer_outstanding -= earlier.outstanding
            account.peer_running -= earlier.running
            account.peer_waiting -= earlier.waiting
            account.peers_waiting -= earlier.waiting > 0
        account.peer_outstanding += row.outstanding
        account.peer_running += row.running
        account.peer_waiting += row.waiting
        account.peers_waiting += row.waiting > 0

    def _align(self, account: Account, settled_service: float) -> None:
        if not self.synced:
            account.settled_service = max(
                account.settled_service, settled_service
            )
            return
        account.settled_service += DRIFT_GAIN * (
            settled_service - account.settled_service
        )

    def _lift(self, account: Account) -> None:
        """Lift an account that becomes backlogged, so idle time earns nothing.

        Settled service is compared, not tags: a charge by a wrong estimate is
        corrected later, but a lift based on it would stay and shut the
        newcomer out until all others had caught up.
        """
        others = (one for one in self.backlogged() if one is not account)
        self.virtual_time = min(
            (one.settled_service for one in others),
            default=self.virtual_time,
        )
        account.settled_service = max(
            account.settled_service, self.virtual_time
        )

    def _advance(self, account: Account) -> None:
        levels = [one.settled_service for one in self.backlogged()]
        if levels:
            self.virtual_time = min(levels)
        else:
            self.virtual_time = max(self.virtual_time, account.settled_service)
