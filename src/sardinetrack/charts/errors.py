"""Errors of the state charts."""

from __future__ import annotations


class InvalidChartError(Exception):
    """A file does not contain a valid state chart."""

    def __init__(self, chart: str, problems: tuple[str, ...]) -> None:
        """Create the error with all problems of the file."""
        listed = '; '.join(problems)
        super().__init__(f'chart {chart}: {listed}')
        self.chart = chart
        self.problems = problems


class IllegalEventError(Exception):
    """The state chart has no transition for this event in this state."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(
            f'chart {chart}: event {event} is illegal in state {state}',
        )
        self.chart = chart
        self.state = state
        self.event = event
