"""State charts: their JSON files and the interpreter."""

from __future__ import annotations

from sardinetrack.charts.errors import IllegalEventError, InvalidChartError
from sardinetrack.charts.interpreter import ChartState, StateChart
from sardinetrack.charts.typed import TypedState, TypedStateChart

__all__ = [
    'StateChart',
    'ChartState',
    'IllegalEventError',
    'InvalidChartError',
    'TypedStateChart',
    'TypedState',
]
