"""Adapts the concurrency limit of a backend server to its load reports.

The side keeps the server just full: it can't order requests that queue inside
the server, and each slot too few wastes capacity.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

_PROBE_FRACTION: Final = 0.125
"""A probe changes the limit by this fraction, by one slot at least."""
_MIN_GAIN_FRACTION: Final = 0.5
"""A larger limit is kept if throughput grows by half as much as the limit."""
_REST_SECONDS: Final = 30.0
"""Time between probes once one has failed."""
_DOWN_SECONDS: Final = 240.0
"""Time between probes of a smaller limit."""
_SETTLE_SECONDS: Final = 2.0
"""Time for requests to come and go after a change, in addition to the lag."""
_MAX_GROWTH: Final = 8
"""The limit stays within this multiple of the initial limit."""
_REPORTS: Final = 8
"""Reports averaged before a decision."""


@dataclass(frozen=True, slots=True)
class ServerLoadReport:
    """A load report of a backend server; it describes a past moment."""

    running: int
    queued: int
    """Requests that wait inside the server."""
    units_per_second: float
    """Cost units delivered, all requests together."""


class AdaptiveConcurrencyLimit:
    """Raises the limit while throughput grows; lowers it at a queue."""

    def __init__(self, initial: int, lag_seconds: float) -> None:
        """Start at an initial limit.

        :param initial: slots by the catalogue.
        :param lag_seconds: maximum age of reports.
        """
        self.limit = initial
        self._maximum = initial * _MAX_GROWTH
        self._window_seconds = lag_seconds + _SETTLE_SECONDS
        self._changed_seconds = float('-inf')
        self._rest_until_seconds = float('-inf')
        self._down_seconds = _DOWN_SECONDS
        self._before: tuple[int, float] | None = None
        self._sum = float(0)
        self._reports = 0

    def report(self, now: float, load: ServerLoadReport) -> int:
        """Apply a load report.

        Reports that may predate the last change are ignored: they lag, and
        would be mistaken for its effect.

        :param now: monotonic time of its arrival.
        :param load: what the server reports.
        :return: the limit from now on.
        """
        if now - self._changed_seconds < self._window_seconds:
            return self.limit
        if load.queued:
            self._set(now, max(1, min(self.limit - 1, load.running)))
            self._rest_until_seconds = now + _REST_SECONDS
            return self.limit
        if load.running < self.limit:
            return self.limit
        self._sum += load.units_per_second
        self._reports += 1
        if self._reports >= _REPORTS:
            self._evaluate(now, self._sum / self._reports)
        return self.limit

    def _evaluate(self, now: float, throughput: float) -> None:
        if self._before is not None:
            limit, earlier = self._before
            wanted = 1 + _MIN_GAIN_FRACTION * (self.limit / limit - 1)
            if throughput < earlier * wanted:
                self._set(now, limit)
                self._rest_until_seconds = now + _REST_SECONDS
                return
        self._clear_samples()
        self._probe(now, throughput)

    def _probe(self, now: float, throughput: float) -> None:
        """Try a neighbouring limit.

        Upwards often, since a slot too few wastes capacity. Downwards rarely:
        that costs capacity where the limit is right, and only corrects a limit
        that noise has raised above the knee of the throughput.
        """
        limit = self.limit
        step = max(1, round(limit * _PROBE_FRACTION))
        if now >= self._down_seconds and limit > 1:
            self._down_seconds = now + _DOWN_SECONDS
            self._set(now, max(1, limit - step))
        elif now >= self._rest_until_seconds and limit < self._maximum:
            self._set(now, min(self._maximum, limit + step))
        else:
            return
        self._before = (limit, throughput)

    def _set(self, now: float, limit: int) -> None:
        self.limit = limit
        self._changed_seconds = now
        self._clear_samples()

    def _clear_samples(self) -> None:
        self._before = None
        self._sum = 0
        self._reports = 0
