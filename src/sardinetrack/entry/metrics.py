"""Metrics of an entry; labels contain no tokens and no request ids."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from sardinetrack.errors.api import ErrorKind
from sardinetrack.links.api import PeerRole
from sardinetrack.routing.api import AttemptOutcome, WaitReason

_POOL: Final = 'pool'
_WAIT_BUCKETS: Final = (0.005, 0.02, 0.1, 0.5, 1, 2, 5, 10, 30, 60)
_COST_BUCKETS: Final = (0.01, 0.1, 1, 10, 100, 300, 1000, 3000, 10_000)


class EntryMetrics:
    """Counters and gauges in a registry of their own."""

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = CollectorRegistry()
        self._errors = Counter(
            'sardinetrack_entry_errors',
            'Error answers by code.',
            ['code'],
            registry=self.registry,
        )
        self._disconnects = Counter(
            'sardinetrack_entry_callers_vanished',
            'Callers that closed before their answer was whole.',
            registry=self.registry,
        )
        self._attempts = Counter(
            'sardinetrack_entry_attempts',
            'Attempts by pool and end.',
            [_POOL, 'end'],
            registry=self.registry,
        )
        self._wait = Histogram(
            'sardinetrack_entry_wait_seconds',
            'From the arrival to the first dispatch.',
            [_POOL],
            buckets=_WAIT_BUCKETS,
            registry=self.registry,
        )
        self._wait_reasons = Counter(
            'sardinetrack_entry_held',
            'Reasons for which requests or their answers wait, by pool.',
            [_POOL, 'reason'],
            registry=self.registry,
        )
        self._cost = Histogram(
            'sardinetrack_entry_cost_units',
            'Cost of whole answers: generated tokens or run seconds.',
            [_POOL],
            buckets=_COST_BUCKETS,
            registry=self.registry,
        )
        self._open_requests = Gauge(
            'sardinetrack_entry_open_requests',
            'Requests that wait or run.',
            registry=self.registry,
        )
        self._linked_peers = Gauge(
            'sardinetrack_entry_linked_peers',
            'Open control links by role.',
            ['role'],
            registry=self.registry,
        )

    def set_gauges(
        self,
        open_requests: Callable[[], int],
        open_links: Callable[[PeerRole], int],
    ) -> None:
        """Set the functions that return the values of the gauges.

        :param open_requests: counts the requests that wait or run.
        :param open_links: counts the links to peers of a role.
        """
        self._open_requests.set_function(open_requests)
        for role in PeerRole:
            self._linked_peers.labels(role.value).set_function(
                partial(open_links, role),
            )

    def count_error(self, kind: ErrorKind) -> None:
        """Count an error response."""
        self._errors.labels(kind.value).inc()

    def count_disconnect(self) -> None:
        """Count a caller that disconnected."""
        self._disconnects.inc()

    def observe_wait(self, pool: str, seconds: float) -> None:
        """Observe the wait of a request."""
        self._wait.labels(pool).observe(seconds)

    def count_wait(self, pool: str, reason: WaitReason) -> None:
        """Count a reason for which a request or its response waits."""
        self._wait_reasons.labels(pool, reason.value).inc()

    def count_attempt(
        self, pool: str, end: AttemptOutcome, cost: float
    ) -> None:
        """Count an attempt, and observe its cost if it completed."""
        self._attempts.labels(pool, end.value).inc()
        if end is AttemptOutcome.COMPLETED:
            self._cost.labels(pool).observe(cost)

    def exposition(self) -> bytes:
        """Return all metrics in the exposition format."""
        return generate_latest(self.registry)
