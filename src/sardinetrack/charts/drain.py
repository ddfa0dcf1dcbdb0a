"""The chart of a graceful shutdown, which several parts run on."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from sardinetrack.charts.typed import TypedChart


class DrainState(StrEnum):
    """How far a shutdown is."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    DRAINED = 'drained'


class DrainEvent(StrEnum):
    """What moves a shutdown on."""

    DRAIN = 'drain'
    SHUT = 'shut'
    IDLE = 'idle'
    DEADLINE = 'deadline'
    STOP = 'stop'


DRAIN: Final = TypedChart('drain', DrainState, DrainEvent)
