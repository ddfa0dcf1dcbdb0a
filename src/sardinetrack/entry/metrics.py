"""Metrics of an entry; labels carry no token and no request id."""

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
from sardinetrack.routing.api import AttemptEnd, HoldReason

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
        self._vanished = Counter(
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
        self._held = Counter(
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

    def watch(
        self,
        open_requests: Callable[[], int],
        open_links: Callable[[PeerRole], int],
    ) -> None:
        """Read gauges when they are asked for.

        :param open_requests: counts the requests that wait or run.
        :param open_links: counts the links to peers of a role.
        """
        self._open_requests.set_function(open_requests)
        for role in PeerRole:
            self._linked_peers.labels(role.value).set_function(
                partial(open_links, role),
            )

    def failed(self, kind: ErrorKind) -> None:
        """Count an error answer."""
        self._errors.labels(kind.value).inc()

    def vanished(self) -> None:
        """Count a caller that went away."""
        self._vanished.inc()

    def waited(self, pool: str, seconds: float) -> None:
        """Take in the wait of a request."""
        self._wait.labels(pool).observe(seconds)

    def held(self, pool: str, reason: HoldReason) -> None:
        """Count a reason for which a request or its answer waits."""
        self._held.labels(pool, reason.value).inc()

    def ended(self, pool: str, end: AttemptEnd, cost: float) -> None:
        """Count an attempt."""
        self._attempts.labels(pool, end.value).inc()
        if end is AttemptEnd.WHOLE:
            self._cost.labels(pool).observe(cost)

    def text(self) -> bytes:
        """Write everything in the exposition format."""
        return generate_latest(self.registry)
