"""How long a server may send nothing."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.topology.configuration import Route, RouteKind

SILENT_START_SECONDS: Final = 2.0
SILENT_GAP_FACTOR: Final = 5.0
MIN_SILENT_GAP_SECONDS: Final = 1.2


def max_silence_seconds(route: Route, *, started: bool) -> float:
    """Return how long the server of a request may send nothing.

    :param started: whether its stream has begun.
    """
    if route.kind is not RouteKind.STREAMING or not route.resumable:
        return math.inf
    if not started:
        return SILENT_START_SECONDS + route.first_event_objective_seconds
    return max(
        MIN_SILENT_GAP_SECONDS, SILENT_GAP_FACTOR * route.event_gap_seconds
    )
