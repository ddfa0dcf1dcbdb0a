"""What a side knows of requests and parts of prompts that crash engines."""

from __future__ import annotations

from collections.abc import Collection

from sardinetrack.quarantine.registry import PartRegistry
from sardinetrack.routing.strikes import StrikeRegistry
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.entry_connection import EntryConnection
from sardinetrack.turns.messages import PartsReported, StrikesReported


class CrashRecords:
    """Passes on what the entries report, and remembers it.

    Once every entry knows of a request that crashes engines, its caller can't
    have it sent again through another one. An entry that starts, or was cut
    off, gets all records when it connects.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._strikes = StrikeRegistry()
        self._parts = PartRegistry()

    def connected(self, entry: EntryConnection) -> None:
        """Send an entry what it understands of all records."""
        now = loop_now()
        strikes = self._strikes.active(now)
        if strikes:
            entry.send(StrikesReported(tuple(strikes)))
        if entry.reports_parts:
            reports = tuple(self._parts.reports(now))
            entry.send(PartsReported(reports, is_complete=True))

    def struck(
        self, message: StrikesReported, others: Collection[EntryConnection]
    ) -> None:
        """Record strikes, and pass them on.

        :param others: all entries but the one that sent them.
        """
        for strike in message.strikes:
            self._strikes.add(loop_now(), strike)
        for entry in others:
            entry.send(message)

    def parts_reported(
        self, message: PartsReported, others: Collection[EntryConnection]
    ) -> None:
        """Record reports on parts, and pass on what is new.

        :param others: all entries but the one that sent them.
        """
        news = self._parts.merge(loop_now(), message.reports)
        if not news:
            return
        merged = PartsReported(tuple(news))
        for entry in others:
            if entry.reports_parts:
                entry.send(merged)
