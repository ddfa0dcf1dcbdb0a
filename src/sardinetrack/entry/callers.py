"""The callers' listener of an entry."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Final

from sardinetrack.entry.applications import HttpApplication
from sardinetrack.entry.border import CallerBorder
from sardinetrack.entry.core import EntryCore
from sardinetrack.entry.cost import LearnedCosts
from sardinetrack.entry.keyed import KeyedRuns
from sardinetrack.entry.protocol import caller_protocol
from sardinetrack.entry.reader import CallReader
from sardinetrack.entry.runner import CallRunner
from sardinetrack.http.guard import ServerBounds
from sardinetrack.http.server import BoundServer, serving

_UNBOUNDED: Final = 1_000_000
"""The protocol bounds connections itself, with a clear answer."""


def serve_callers(core: EntryCore) -> AbstractAsyncContextManager[BoundServer]:
    """Serve callers while the context lasts.

    :param core: the entry's objects.
    :return: a context manager of the running server.
    """
    settings = core.parts.settings
    bounds = settings.bounds
    return serving(
        HttpApplication(caller_border(core).handle),
        settings.callers.ip,
        settings.callers.port,
        bounds=ServerBounds(
            max_connections=_UNBOUNDED,
            keep_alive_seconds=max(1, round(bounds.keep_alive_seconds)),
        ),
        protocol=caller_protocol(
            core.parts.head_bounds,
            bounds.max_connections,
        ),
    )


def caller_border(core: EntryCore) -> CallerBorder:
    """Build what answers callers, without its listener.

    :param core: the entry's objects.
    :return: the border.
    """
    bounds = core.parts.settings.bounds
    costs = LearnedCosts()
    runner = CallRunner(
        core.dispatcher,
        core.peers,
        KeyedRuns(core.parts.claims, bounds.wait_seconds),
        costs,
        core.metrics,
        bounds.send_seconds,
    )
    reader = CallReader(core.view, costs, bounds, core.dispatcher.clock)
    return CallerBorder(core.view, reader, runner, core.gate, core.metrics)
