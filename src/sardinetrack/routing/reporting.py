"""Schedule of an entry's service reports to its peers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.fairness.ledger import Ledger
from sardinetrack.messages.api import ServiceReport
from sardinetrack.routing.api import SendToEntries
from sardinetrack.routing.shared import ProcessIdentity

MESSAGES_PER_REQUEST: Final = 0.8
"""Budget for reports; short requests are reported more often than long
ones."""
MAX_INTERVAL_SECONDS: Final = 2.0
IDLE_INTERVAL_SECONDS: Final = 6.0
"""Between reports while no entry has queued requests: tags are not compared
then."""
MIN_INTERVAL_SECONDS: Final = 0.1
_REPEAT_SECONDS: Final = 8.0
"""How long after a change a row is repeated, in case a report is lost."""


class Reporter:
    """Sends a report after some dispatches, or some time after a change."""

    def __init__(
        self, pool: str, identity: ProcessIdentity, ledger: Ledger
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._ledger = ledger
        self._dispatched = 0
        self._sent_seconds = float('-inf')

    def count_dispatch(self) -> None:
        """Count a dispatch."""
        self._dispatched += 1

    def due(self, now: float) -> Sequence[SendToEntries]:
        """Return a report if one is due.

        :param now: monotonic time.
        :return: one report, or none.
        """
        elapsed_seconds = now - self._sent_seconds
        threshold = self._ledger.live_peers / MESSAGES_PER_REQUEST
        busy = self._dispatched >= max(1, threshold)
        if elapsed_seconds < self._interval_seconds(busy=busy):
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

    def _interval_seconds(self, *, busy: bool) -> float:
        if not any(True for _ in self._ledger.backlogged()):
            return IDLE_INTERVAL_SECONDS
        return MIN_INTERVAL_SECONDS if busy else MAX_INTERVAL_SECONDS
