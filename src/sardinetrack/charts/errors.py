"""Errors of the state charts."""

from __future__ import annotations


class InvalidChartError(Exception):
    """A chart's file describes no usable chart."""

    def __init__(self, chart: str, problems: tuple[str, ...]) -> None:
        """Remember every problem of the file."""
        listed = '; '.join(problems)
        super().__init__(f'chart {chart}: {listed}')
        self.chart = chart
        self.problems = problems


class IllegalEventError(Exception):
    """The chart has no transition for this event in this state."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        """Remember where the event came."""
        super().__init__(
            f'chart {chart}: event {event} is illegal in state {state}',
        )
        self.chart = chart
        self.state = state
        self.event = event
