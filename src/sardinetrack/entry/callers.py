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
    core: EntryComponents,
) -> AbstractAsyncContextManager[BoundServer]:
    """Serve callers while the context is open.

    :param core: the entry's components.
    :return: a context manager of the running server.
    """
    settings = core.parts.settings
    bounds = settings.bounds
    return serve(
        HttpApplication(caller_request_handler(core).handle),
        settings.callers.ip,
        settings.callers.port,
        bounds=ServerLimits(
            max_connections=_UNBOUNDED,
            keep_alive_seconds=max(1, round(bounds.keep_alive_seconds)),
        ),
        protocol=caller_protocol(
            core.parts.head_bounds,
            bounds.max_connections,
        ),
    )


def caller_request_handler(core: EntryComponents) -> CallerRequestHandler:
    """Build the handler of callers' requests, without a listener.

    :param core: the entry's components.
    :return: the handler.
    """
    bounds = core.parts.settings.bounds
    costs = CostEstimates()
    runner = CallRunner(
        core.dispatcher,
        core.peers,
        IdempotentRuns(core.parts.claims, bounds.wait_seconds),
        costs,
        core.metrics,
        bounds.send_seconds,
    )
    reader = CallReader(core.view, costs, bounds, core.dispatcher.clock)
    return CallerRequestHandler(
        core.view, reader, runner, core.gate, core.metrics
    )
