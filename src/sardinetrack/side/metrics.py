"""Metrics of a side."""

from __future__ import annotations

from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from sardinetrack.messages.api import SideLoad

_RUN_BUCKETS: Final = (0.01, 0.1, 1, 5, 10, 30, 60, 120, 300, 600)


class SideMetrics:
    """Metrics of one side, in a registry of its own.

    A process may run several sides.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.running = self._gauge('running_requests', 'Requests that run')
        self.free = self._gauge('free_slots', 'Slots free and not set aside')
        self.limit = self._gauge('limit_slots', 'Requests that may run')
        self.links = self._gauge('linked_entries', 'Entries linked now')
        self.started = self._counter('started_requests', 'Requests started')
        self.refused = Counter(
            'sardinetrack_side_refused_requests',
            'Orders refused, never started',
            ['reason'],
            registry=self.registry,
        )
        self._rests = self._counter(
            'server_rests', 'Times that the backend server asked for rest'
        )
        self._resting = self._gauge(
            'server_resting', 'Whether the backend server rests'
        )
        self._leaving = self._gauge(
            'server_leaving', 'Whether the backend server is leaving'
        )
        self.ended = Counter(
            'sardinetrack_side_ended_requests',
            'Requests ended after their start',
            ['end'],
            registry=self.registry,
        )
        self.surplus = Counter(
            'sardinetrack_side_surplus_responses',
            'Responses of the backend server that were discarded',
            ['found'],
            registry=self.registry,
        )
        self.cost = self._counter('cost_units', 'Cost of ended requests')
        self.run_seconds = Histogram(
            'sardinetrack_side_run_seconds',
            'Time from the start of a request to its end',
            buckets=_RUN_BUCKETS,
            registry=self.registry,
        )

    def set_load(self, load: SideLoad) -> None:
        """Set the gauges of the slots."""
        self.running.set(load.running)
        self.free.set(load.free)
        self.limit.set(load.limit)

    def record_rest(self, *, active: bool) -> None:
        """Record that a rest of the backend server begins or ends."""
        self._resting.set(active)
        if active:
            self._rests.inc()

    def record_departure(self, *, active: bool) -> None:
        """Record that the backend server is leaving, or has restarted."""
        self._leaving.set(active)

    def record_end(
        self, *, complete: bool, cost: float, seconds: float
    ) -> None:
        """Count a request that has ended."""
        self.ended.labels('whole' if complete else 'broken').inc()
        self.cost.inc(cost)
        self.run_seconds.observe(seconds)

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def _gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(
            f'sardinetrack_side_{name}',
            meaning,
            registry=self.registry,
        )

    def _counter(self, name: str, meaning: str) -> Counter:
        return Counter(
            f'sardinetrack_side_{name}',
            meaning,
            registry=self.registry,
        )
