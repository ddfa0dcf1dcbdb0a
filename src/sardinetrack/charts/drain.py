"""The state chart of a graceful shutdown, used by entries and sides."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from sardinetrack.charts.typed import TypedStateChart


class DrainState(StrEnum):
    """States of the state chart ``drain``."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    DRAINED = 'drained'


class DrainEvent(StrEnum):
    """Events of the state chart ``drain``."""

    DRAIN = 'drain'
    SHUT = 'shut'
    IDLE = 'idle'
    DEADLINE = 'deadline'
    STOP = 'stop'


DRAIN_CHART: Final = TypedStateChart('drain', DrainState, DrainEvent)
