"""The parts of prompts that crashes speak against, as one process knows."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

from sardinetrack.quarantine.api import PartReport, PartStatus
from sardinetrack.quarantine.record import PartRecord

MAX_RECORDS: Final = 4096
"""Each crash adds the parts of the prompts that had no event, some ten."""
_SEVERITY: Final = (PartStatus.FREE, PartStatus.SUSPECT, PartStatus.BLOCKED)


class PartRegistry:
    """Records by part; reads no clock, all times are monotonic."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[str, PartRecord] = {}

    def __len__(self) -> int:
        """Count the parts with a record."""
        return len(self._records)

    @property
    def suspected(self) -> int:
        """Count the parts with crashes since the last response to them."""
        return sum(
            bool(record.crashes_in_a_row) for record in self._records.values()
        )

    def find(self, part: str) -> PartRecord | None:
        """Return the record of a part, if there is one."""
        return self._records.get(part)

    def status(self, now: float, part: str) -> PartStatus:
        """Return how requests with a part are treated."""
        record = self._records.get(part)
        return PartStatus.FREE if record is None else record.status(now)

    def worst(
        self, now: float, parts: Collection[str]
    ) -> tuple[PartStatus, str]:
        """Return the part that limits a request most, and its status.

        :return: an empty name if no part limits it.
        """
        found = (PartStatus.FREE, '')
        for part in parts:
            status = self.status(now, part)
            if _SEVERITY.index(status) > _SEVERITY.index(found[0]):
                found = (status, part)
        return found

    def crashes_in_a_row(self, part: str) -> int:
        """Count the crashes since the last response to a part."""
        record = self._records.get(part)
        return 0 if record is None else record.crashes_in_a_row

    def record(self, now: float, part: str) -> PartRecord:
        """Return the record of a part; begin one if there is none."""
        record = self._records.pop(part, None) or PartRecord()
        self._records[part] = record
        if len(self._records) > MAX_RECORDS:
            self._drop_expired(now)
        if len(self._records) > MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
        return record

    def merge(
        self, now: float, reports: Iterable[PartReport]
    ) -> list[PartReport]:
        """Apply the reports of another process.

        :return: those that changed a record, as it says now.
        """
        return [
            self.record(now, report.part).report(now, report.part)
            for report in reports
            if self.record(now, report.part).merge(now, report)
        ]

    def reports(self, now: float) -> list[PartReport]:
        """Return all that is known."""
        self._drop_expired(now)
        return [
            record.report(now, part) for part, record in self._records.items()
        ]

    def reports_beyond(
        self, now: float, reports: Collection[PartReport]
    ) -> list[PartReport]:
        """Return what a process lacks that has sent all of its reports."""
        other = PartRegistry()
        other.merge(now, reports)
        return other.merge(now, self.reports(now))

    def _drop_expired(self, now: float) -> None:
        for part, record in list(self._records.items()):
            if record.is_expired(now):
                self._records.pop(part)
