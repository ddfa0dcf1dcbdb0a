"""Why a stream is moved to another engine; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

from sardinetrack.placement.harm import has_long_pauses, is_long_stream
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.topology.servers import BackendServer


class MoveReason(StrEnum):
    """Field of the line of a move."""

    LEAVING = 'leaving'
    """Its engine leaves, and would cut it."""
    PAUSES = 'pauses'
    """Prompts at its engine make it pause for too long."""


def engines_without_long_pauses(
    servers: Iterable[BackendServer],
    loads: Mapping[str, EstimatedLoad],
    event_gap_seconds: float,
) -> list[BackendServer]:
    """List the engines at which a stream keeps its pause objective.

    One whose load is unknown is left out.
    """
    return [
        server
        for server in servers
        if (load := loads.get(server.instance)) is not None
        and not has_long_pauses(load, event_gap_seconds)
    ]


def meets_long_pauses(
    load: EstimatedLoad | None,
    output_tokens: int,
    event_gap_seconds: float,
) -> bool:
    """Whether a stream that has just begun will pause for too long.

    A short one ends before the next long prompt.

    :param load: of its engine.
    :param output_tokens: estimated length of the response.
    """
    if load is None or not has_long_pauses(load, event_gap_seconds):
        return False
    return is_long_stream(load, output_tokens)
