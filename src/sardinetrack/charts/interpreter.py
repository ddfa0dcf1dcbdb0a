"""Interpreter of the state charts that lie beside this module as JSON."""

from __future__ import annotations

from functools import cache
from importlib import resources
from typing import Self

import msgspec
from transitions import Machine

from sardinetrack.charts.errors import IllegalEventError, InvalidChartError
from sardinetrack.charts.model import ChartFile, find_problems


class Chart:
    """A validated chart; any number of states run on it."""

    def __init__(self, name: str, chart: ChartFile) -> None:
        """Build a chart from a file's content.

        :raises InvalidChartError: its parts don't fit together.
        """
        problems = find_problems(chart)
        if problems:
            raise InvalidChartError(name, problems)
        self.name = name
        self.initial = chart.initial
        self._arrows = frozenset(
            (arrow.source, arrow.event) for arrow in chart.transitions
        )
        self._machine = _machine(chart)

    @classmethod
    def parse(cls, name: str, text: bytes | str) -> Self:
        """Read a chart from JSON text.

        :raises InvalidChartError: with every problem found.
        """
        try:
            chart = msgspec.json.decode(text, type=ChartFile)
        except msgspec.DecodeError as error:
            raise InvalidChartError(name, (str(error),)) from error
        return cls(name, chart)

    @classmethod
    @cache
    def load(cls, name: str) -> Self:
        """Read a chart of this package, once for each process.

        :raises InvalidChartError: there is no such file or it is no chart.
        """
        path = resources.files(__package__) / f'{name}.json'
        try:
            text = path.read_bytes()
        except OSError as error:
            raise InvalidChartError(name, ('there is no file',)) from error
        return cls.parse(name, text)

    def start(self) -> ChartState:
        """Enter the initial state."""
        return ChartState(self)

    def allows(self, state: str, event: str) -> bool:
        """Tell whether a state has a transition for the event."""
        return (state, event) in self._arrows

    def move(self, model: ChartState, event: str) -> None:
        """Let the machine write the next state into the model.

        :raises IllegalEventError: the state has no such transition.
        """
        if not self.allows(model.state, event):
            raise IllegalEventError(self.name, model.state, event)
        self._machine.events[event].trigger(model)


class ChartState:
    """Where one owner stands on its chart."""

    __slots__ = ('_chart', 'state')

    def __init__(self, chart: Chart) -> None:
        """Stand in the chart's initial state."""
        self._chart = chart
        self.state = chart.initial

    def allows(self, event: str) -> bool:
        """Tell whether the event is legal now."""
        return self._chart.allows(self.state, event)

    def fire(self, event: str) -> str:
        """Follow the transition of an event.

        :param event: what has happened.
        :return: the new state.
        :raises IllegalEventError: the state has no such transition.
        """
        self._chart.move(self, event)
        return self.state


def _machine(chart: ChartFile) -> Machine:
    return Machine(
        model=None,
        states=list(chart.states),
        initial=chart.initial,
        auto_transitions=False,
        transitions=[
            [arrow.event, arrow.source, arrow.target]
            for arrow in chart.transitions
        ],
    )
