"""Limits on the concurrent requests of a backend server."""

from __future__ import annotations

from abc import ABC, abstractmethod

from sardinetrack.catalogue.api import Pool
from sardinetrack.side.load_report import LoadReport


class ConcurrencyLimit(ABC):
    """Decides how many requests a backend server runs concurrently."""

    @abstractmethod
    def limit(self, now: float, pool: Pool, report: LoadReport | None) -> int:
        """Choose the limit.

        :param now: monotonic time.
        :param pool: the server's pool in the active configuration.
        :param report: the newest load report, ``None`` when there is none.
        """


class FixedLimit(ConcurrencyLimit):
    """The fixed limit of the pool."""

    def limit(self, now: float, pool: Pool, report: LoadReport | None) -> int:
        """Return the number of the catalogue."""
        return pool.slots_per_server
