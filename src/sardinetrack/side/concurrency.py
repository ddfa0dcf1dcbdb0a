"""How many requests a backend server runs at once."""

from __future__ import annotations

from abc import ABC, abstractmethod

from sardinetrack.catalogue.api import Pool
from sardinetrack.side.load_report import LoadReport


class ConcurrencyLimit(ABC):
    """Decides how many requests a backend server runs at once."""

    @abstractmethod
    def limit(self, now: float, pool: Pool, report: LoadReport | None) -> int:
        """Choose the limit.

        :param now: monotonic time.
        :param pool: the server's pool as it is in force.
        :param report: the newest load, ``None`` when there is none.
        """


class FixedLimit(ConcurrencyLimit):
    """The pool's own first guess."""

    def limit(self, now: float, pool: Pool, report: LoadReport | None) -> int:
        """Take the number from the catalogue."""
        return pool.slots_per_server
