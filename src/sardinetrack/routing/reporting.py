"""When an entry tells its peers what its workspaces received."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.fairness.ledger import Ledger
from sardinetrack.messages.api import ServiceReport
from sardinetrack.routing.api import SendToEntries
from sardinetrack.routing.shared import Identity

MESSAGES_PER_REQUEST: Final = 0.8
"""Spent on reports; short requests are reported more often than long ones."""
LONGEST_SECONDS: Final = 2.0
CALM_SECONDS: Final = 6.0
"""Between reports while nothing waits anywhere: nothing has to be ordered."""
SHORTEST_SECONDS: Final = 0.1
_REPEAT_SECONDS: Final = 8.0
"""Rows are repeated so long after a change, in case a report is lost."""


class Reporter:
    """Reports after some dispatches, or some time after a change."""

    def __init__(self, pool: str, identity: Identity, ledger: Ledger) -> None:
        """Report one pool's ledger."""
        self._pool = pool
        self._identity = identity
        self._ledger = ledger
        self._dispatched = 0
        self._sent_seconds = float('-inf')

    def dispatched(self) -> None:
        """Count a dispatch."""
        self._dispatched += 1

    def due(self, now: float) -> Sequence[SendToEntries]:
        """Report if it is time.

        :param now: monotonic time.
        :return: a report or nothing.
        """
        elapsed_seconds = now - self._sent_seconds
        wanted = self._ledger.live_peers / MESSAGES_PER_REQUEST
        busy = self._dispatched >= max(1, wanted)
        if elapsed_seconds < self._pause_seconds(busy=busy):
            return ()
        rows = self._ledger.rows(now - _REPEAT_SECONDS)
        if not rows:
            return ()
        self._sent_seconds = now
        self._dispatched = 0
        report = ServiceReport(
            self._identity.entry,
            self._identity.incarnation,
            self._pool,
            rows,
            self._ledger.synced,
        )
        return (SendToEntries(report),)

    def _pause_seconds(self, *, busy: bool) -> float:
        if not any(True for _ in self._ledger.backlogged()):
            return CALM_SECONDS
        return SHORTEST_SECONDS if busy else LONGEST_SECONDS
