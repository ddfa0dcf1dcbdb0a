"""The metrics of a process as a page for Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from itertools import accumulate
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.memory import resident_bytes
from sardinetrack.relay.meters import Histogram
from sardinetrack.store.api import StoreCounters
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.side import SideServer


class _Page(Collector):
    def __init__(self, metrics: Callable[[], Iterable[Metric]]) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        return self._metrics()


def render_metrics(metrics: Callable[[], Iterable[Metric]]) -> bytes:
    """Render a page in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Page(metrics))
    return generate_latest(registry)


def entry_metrics(state: EntryState, store: StoreCounters) -> Iterable[Metric]:
    """Return the metrics of an entry.

    :param store: its calls to the store since its start.
    """
    meters = state.meters
    yield _counter('requests', 'Requests by how they ended', meters.outcomes)
    yield _counter('retries', 'Repeated sends by their cause', meters.retries)
    yield _counter(
        'truncated_responses',
        'Responses cut after their start, by the error',
        meters.truncated,
    )
    yield _counter(
        'responses_discarded',
        'Responses that may be to another request, by the reason',
        meters.discarded,
    )
    yield _counter(
        'workspace_requests',
        'Requests by workspace',
        meters.workspaces,
    )
    yield _histogram('request', 'Arrival to end', meters.took)
    yield _histogram('turn_wait', 'Wait for a turn', meters.waited)
    yield _total(
        'bodies_refused',
        'Requests for whose bodies there was no memory',
        meters.bodies.refused,
    )
    yield _gauge(
        'held_body_bytes',
        'Memory of large bodies, beyond that of usual requests',
        meters.bodies.held_bytes,
    )
    yield from _stream_metrics(state)
    yield from _view_metrics(state, store)
    yield from _server_metrics(state)
    yield _total('log_lines_dropped', 'Dropped lines', state.log.dropped)


def _stream_metrics(state: EntryState) -> Iterable[Metric]:
    """Return the metrics of an entry's streams, and of how responses ended."""
    streams = state.meters.streams
    yield _counter(
        'closed_responses',
        'Responses that ended with their connection, by what that was',
        state.meters.closed,
    )
    yield _counter(
        'silent_servers',
        'Silent servers of begun requests, by what became of the request',
        streams.silences,
    )
    yield _histogram(
        'first_event', 'Arrival to first event', streams.first_event
    )
    yield _counter(
        'late_streams', 'Streams by why they were late', streams.late
    )
    yield _pause_ratios(streams.pause_ratios)
    yield _counter(
        'streams_continued',
        'Sends that continue a stream after an event, by what does',
        streams.continued,
    )
    yield _counter(
        'stream_origins',
        'Streams that callers continue, by how their version was found',
        streams.origins,
    )
    yield _counter(
        'stream_moves',
        'Moves of streams to other engines, by how they ended',
        state.server_states.moves.outcomes,
    )


def _view_metrics(state: EntryState, store: StoreCounters) -> Iterable[Metric]:
    """Return the metrics of an entry's view of the fleet."""
    yield _gauge(
        'configuration_age_seconds',
        'Age of the confirmed view',
        state.freshness.age_seconds(),
    )
    version = state.configuration.version if state.configuration else 0
    yield _gauge('configuration_version', 'Version in force', version)
    yield _gauge(
        'servers',
        'Listed backend servers',
        len(state.servers.instances),
    )
    meters = state.meters
    yield _counter(
        'runs_at_crashes',
        'Attempts that crashes of servers have interrupted',
        state.crashes.interrupted,
    )
    yield _gauge(
        'suspected_parts',
        'Parts of prompts with crashes since the last response to them',
        state.crashes.quarantine.registry.suspected,
    )
    yield _total(
        'refused_entries',
        'Listed entries that name no server',
        meters.refused_entries,
    )
    yield _gauge(
        'evacuated_domains',
        'Failure domains that get no new work',
        len(state.servers.evacuated),
    )
    yield _gauge('live_sides', 'Sides that answer', len(state.sides.live))
    yield _gauge('entries', 'Entries that the sides see', state.entries)
    yield _total(
        'server_connections',
        'Connections opened to servers',
        state.connections.opened,
    )
    yield from _process_metrics(store)
    yield _gauge(
        'view_borrowed',
        '1 while a side watches the store for this entry',
        state.sides.views.borrowed,
    )


def _server_metrics(state: EntryState) -> Iterable[Metric]:
    """Return the metrics of what an entry knows of its servers."""
    meters = state.meters
    yield _total(
        'server_restarts',
        'Servers that started again under their id',
        meters.restarts,
    )
    yield _total(
        'leaving_announced',
        'Servers that said in a response that they leave',
        meters.announced_leavings,
    )
    yield _histogram(
        'leaving_learned',
        'From the earliest acceptance of a leaving until it is known',
        meters.leavings_learned,
    )
    yield _histogram(
        'servers_age_at_send',
        'Age of the list of servers when a request is sent',
        meters.list_ages,
    )
    yield _total(
        'server_rests',
        'Rests that servers asked for',
        meters.rests,
    )
    yield _gauge(
        'resting_servers',
        'Servers that get nothing until their rest ends',
        len(state.server_states.rests.in_force(boot_clock())),
    )


def side_metrics(side: SideServer, store: StoreCounters) -> Iterable[Metric]:
    """Return the metrics of a side.

    :param store: its calls to the store since its start.
    """
    admission = side.admission
    yield _gauge('running', 'Requests at the engine', admission.running)
    yield _gauge('waiting', 'Requests that wait here', admission.waiting)
    yield _gauge('slots_left', 'Free slots', admission.slots_left)
    yield _gauge(
        'reading_wait_seconds',
        'Until a new request is read',
        admission.wait_seconds(loop_now()),
    )
    yield _gauge(
        'reading_rate_tokens',
        'Prompt tokens read a second',
        admission.rate_tokens,
    )
    yield _gauge('entries', 'Connected entries', side.entries)
    yield _gauge(
        'cold_seconds',
        'How long the engine stays cold',
        side.engine_starts.cold.left_seconds(loop_now()),
    )
    yield _gauge(
        'starts_in_a_row',
        'Starts of the engine of which each ended before it was warm',
        side.engine_starts.consecutive_cold_starts,
    )
    yield _gauge(
        'followers',
        'Entries for which it watches the store',
        side.watcher.subscribers,
    )
    yield from _process_metrics(store)
    yield _counter(
        'engine_use_seconds',
        "The engine's time by its use",
        side.usage.seconds,
    )
    yield _counter('turns', 'Verdicts on asked turns', side.decisions)
    yield from _engine_metrics(side)


def _engine_metrics(side: SideServer) -> Iterable[Metric]:
    """Return the metrics of what a side's engine reports."""
    streams = side.admission.running
    pace = side.admission.step_pace(loop_now())
    yield _gauge(
        'streams', 'Requests that run', streams if pace.is_known else 0
    )
    yield _gauge('event_tokens', 'Tokens of an event', pace.event_tokens)
    yield _gauge(
        'decode_step_seconds',
        'Step of the engine that only decodes',
        pace.decode_step_seconds,
    )
    yield _gauge(
        'prefill_step_seconds',
        'Step of the engine that also prefills',
        pace.prefill_step_seconds,
    )
    yield _gauge(
        'recent_pause_seconds',
        'Longest pause that prefill caused lately',
        side.admission.recent_pause_seconds(loop_now()),
    )
    polls = side.monitor.polls if side.monitor else {}
    yield _counter('engine_polls', 'Polls by how they ended', polls)


def _process_metrics(store: StoreCounters) -> Iterable[Metric]:
    """Return what an entry and a side have in common."""
    yield from _store_metrics(store)
    yield _gauge(
        'resident_memory_bytes', 'Memory of the process', resident_bytes()
    )


def _store_metrics(store: StoreCounters) -> Iterable[Metric]:
    yield _total('store_calls', 'Calls to the store', store.calls)
    yield _total(
        'unreadable_objects',
        'Objects read from the store that say nothing',
        store.unreadable,
    )


def _counter(name: str, text: str, counts: Mapping[Any, float]) -> Metric:
    family = CounterMetricFamily(f'sardinetrack_{name}', text, labels=['by'])
    for label, count in counts.items():
        family.add_metric([label], count)
    return family


def _total(name: str, text: str, count: float) -> Metric:
    return CounterMetricFamily(f'sardinetrack_{name}', text, value=count)


def _gauge(name: str, text: str, level: float) -> Metric:
    return GaugeMetricFamily(f'sardinetrack_{name}', text, value=level)


def _histogram(name: str, text: str, histogram: Histogram) -> Metric:
    return HistogramMetricFamily(
        f'sardinetrack_{name}_seconds',
        text,
        buckets=_buckets(histogram),
        sum_value=histogram.total,
    )


def _pause_ratios(histograms: Mapping[str, Histogram]) -> Metric:
    family = HistogramMetricFamily(
        'sardinetrack_stream_pause_ratio',
        'Longest pause of a stream to the objective of its route',
        labels=['by'],
    )
    for route, histogram in histograms.items():
        family.add_metric([route], _buckets(histogram), histogram.total)
    return family


def _buckets(histogram: Histogram) -> list[tuple[str, int]]:
    bounds = [*map(str, histogram.bounds), '+Inf']
    return list(zip(bounds, accumulate(histogram.counts), strict=True))
