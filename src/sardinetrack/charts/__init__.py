"""State charts in JSON files, and their interpreter."""

from __future__ import annotations

from sardinetrack.charts.errors import IllegalEventError, InvalidChartError
from sardinetrack.charts.interpreter import Chart, ChartState

__all__ = ['Chart', 'ChartState', 'IllegalEventError', 'InvalidChartError']
