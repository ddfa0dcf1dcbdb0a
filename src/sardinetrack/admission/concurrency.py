"""Learns how many requests a backend server runs at once, from its reports.

The side keeps the server just full: a queue inside the server is lost
control, a slot too few is lost capacity.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

_PART: Final = 0.125
"""A probe changes the limit by this part, by one slot at least."""
_GAIN_PART: Final = 0.5
"""A larger limit is kept if it earns half of its share in throughput."""
_REST_SECONDS: Final = 30.0
"""Time between probes once one has failed."""
_DOWN_SECONDS: Final = 240.0
"""Time between probes of a smaller limit."""
_SETTLE_SECONDS: Final = 2.0
"""Time for requests to come and go after a change, besides the lag."""
_GROWTH: Final = 8
"""The limit stays within so many times the first guess."""
_REPORTS: Final = 8
"""Reports averaged before a decision."""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """A load report of a backend server; it speaks of a time past."""

    running: int
    queued: int
    """Requests that wait inside the server."""
    units_per_second: float
    """Cost units delivered, all requests together."""


class ConcurrencyLearner:
    """Climbs while throughput climbs; steps back from a queue."""

    def __init__(self, first: int, lag_seconds: float) -> None:
        """Start at a first guess.

        :param first: slots by the catalogue.
        :param lag_seconds: how old reports are at most.
        """
        self.limit = first
        self._most = first * _GROWTH
        self._window_seconds = lag_seconds + _SETTLE_SECONDS
        self._changed_seconds = float('-inf')
        self._rest_until_seconds = float('-inf')
        self._down_seconds = _DOWN_SECONDS
        self._before: tuple[int, float] | None = None
        self._sum = float(0)
        self._reports = 0

    def report(self, now: float, load: ServerLoad) -> int:
        """Take in a load report.

        Reports of before the last change are left out: they lag, and would
        be taken for its effect.

        :param now: monotonic time of its arrival.
        :param load: what the server says.
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
            self._judge(now, self._sum / self._reports)
        return self.limit

    def _judge(self, now: float, throughput: float) -> None:
        if self._before is not None:
            limit, earlier = self._before
            wanted = 1 + _GAIN_PART * (self.limit / limit - 1)
            if throughput < earlier * wanted:
                self._set(now, limit)
                self._rest_until_seconds = now + _REST_SECONDS
                return
        self._forget()
        self._probe(now, throughput)

    def _probe(self, now: float, throughput: float) -> None:
        """Try a neighbouring limit.

        Upwards often, since a slot too few is lost capacity. Downwards
        rarely: it costs capacity where the limit is right, and only mends
        one that noise has carried above the knee.
        """
        limit = self.limit
        step = max(1, round(limit * _PART))
        if now >= self._down_seconds and limit > 1:
            self._down_seconds = now + _DOWN_SECONDS
            self._set(now, max(1, limit - step))
        elif now >= self._rest_until_seconds and limit < self._most:
            self._set(now, min(self._most, limit + step))
        else:
            return
        self._before = (limit, throughput)

    def _set(self, now: float, limit: int) -> None:
        self.limit = limit
        self._changed_seconds = now
        self._forget()

    def _forget(self) -> None:
        self._before = None
        self._sum = 0
        self._reports = 0
