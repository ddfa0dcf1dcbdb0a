"""The callers' listener of an entry."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Final

from sardinetrack.entry.applications import HttpApplication
from sardinetrack.entry.components import EntryComponents
from sardinetrack.entry.cost import CostEstimates
from sardinetrack.entry.idempotent_runs import IdempotentRuns
from sardinetrack.entry.protocol import caller_protocol
from sardinetrack.entry.reader import CallReader
from sardinetrack.entry.request_handler import CallerRequestHandler
from sardinetrack.entry.runner import CallRunner
from sardinetrack.http.guard import ServerLimits
from sardinetrack.http.server import BoundServer, serve

_UNBOUNDED: Final = 1_000_000
"""The protocol limits connections itself, with a specific error response."""


def serve_callers(
    components: EntryComponents,
) -> AbstractAsyncContextManager[BoundServer]:
    """Serve callers while the context is open.

    :param components: the entry's components.
    :return: a context manager of the running server.
    """
    settings = components.dependencies.settings
    bounds = settings.bounds
    return serve(
        HttpApplication(caller_request_handler(components).handle),
        settings.callers.ip,
        settings.callers.port,
        bounds=ServerLimits(
            max_connections=_UNBOUNDED,
            keep_alive_seconds=max(1, round(bounds.keep_alive_seconds)),
        ),
        protocol=caller_protocol(
            components.dependencies.head_bounds,
            bounds.max_connections,
        ),
    )


def caller_request_handler(components: EntryComponents) -> CallerRequestHandler:
    """Build the handler of callers' requests, without a listener.

    :param components: the entry's components.
    :return: the handler.
    """
    bounds = components.dependencies.settings.bounds
    costs = CostEstimates()
    runner = CallRunner(
        components.dispatcher,
        components.peers,
        IdempotentRuns(components.dependencies.claims, bounds.wait_seconds),
        costs,
        components.metrics,
        bounds.send_seconds,
    )
    reader = CallReader(
        components.view, costs, bounds, components.dispatcher.clock
    )
    return CallerRequestHandler(
        components.view, reader, runner, components.gate, components.metrics
    )
