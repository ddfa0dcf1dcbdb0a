"""Interpreter of the state charts that lie beside this module as JSON."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from functools import cache
from importlib import resources
from types import MappingProxyType
from typing import Self

import msgspec
from transitions import Machine

from sardinetrack.charts.errors import IllegalEventError, InvalidChartError
from sardinetrack.charts.model import ChartFile, find_problems

Place = tuple[str, str]
"""A state and an event that comes in it."""


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
        self.states = frozenset(chart.states)
        self.events = frozenset(chart.events)
        # The library builds the machine; firing through it costs too much
        # for a request's path (docs/design/charts.md).
        self.moves: Mapping[Place, str] = MappingProxyType(
            dict(_moves(_machine(chart)))
        )

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
        return (state, event) in self.moves

    def after(self, state: str, event: str) -> str:
        """Find the state that an event leads to.

        :raises IllegalEventError: the state has no such transition.
        """
        target = self.moves.get((state, event))
        if target is None:
            raise IllegalEventError(self.name, state, event)
        return target


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
        self.state = self._chart.after(self.state, event)
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


def _moves(machine: Machine) -> Iterator[tuple[Place, str]]:
    for arrow_event in machine.events:
        for arrow in machine.get_transitions(arrow_event):
            # No target means that the state stays.
            yield (arrow.source, arrow_event), arrow.dest or arrow.source
