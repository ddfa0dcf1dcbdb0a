"""Interpreter of the state charts in the JSON files of this package."""

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

StateEvent = tuple[str, str]
"""A state, and an event that may occur in it."""


class StateChart:
    """A validated state chart, shared by any number of ``ChartState``."""

    def __init__(self, name: str, chart: ChartFile) -> None:
        """Build a state chart from a file's content.

        :raises InvalidChartError: the content is inconsistent.
        """
        problems = find_problems(chart)
        if problems:
            raise InvalidChartError(name, problems)
        self.name = name
        self.initial = chart.initial
        self.states = frozenset(chart.states)
        self.events = frozenset(chart.events)
        # The library only builds the machine; firing events through it is too
        # slow for the request path (docs/design/charts.md).
        self.targets: Mapping[StateEvent, str] = MappingProxyType(
            dict(_targets(_machine(chart)))
        )

    @classmethod
    def parse(cls, name: str, text: bytes | str) -> Self:
        """Parse a state chart from JSON text.

        :raises InvalidChartError: lists all problems found.
        """
        try:
            chart = msgspec.json.decode(text, type=ChartFile)
        except msgspec.DecodeError as error:
            raise InvalidChartError(name, (str(error),)) from error
        return cls(name, chart)

    @classmethod
    @cache
    def load(cls, name: str) -> Self:
        """Load a state chart of this package, once for each process.

        :raises InvalidChartError: the file is missing or not a valid chart.
        """
        path = resources.files(__package__) / f'{name}.json'
        try:
            text = path.read_bytes()
        except OSError as error:
            raise InvalidChartError(name, ('file not found',)) from error
        return cls.parse(name, text)

    def start(self) -> ChartState:
        """Return a new ``ChartState`` in the initial state."""
        return ChartState(self)

    def allows(self, state: str, event: str) -> bool:
        """Return whether a state has a transition for the event."""
        return (state, event) in self.targets

    def after(self, state: str, event: str) -> str:
        """Return the state that an event leads to.

        :raises IllegalEventError: the state has no such transition.
        """
        target = self.targets.get((state, event))
        if target is None:
            raise IllegalEventError(self.name, state, event)
        return target


class ChartState:
    """Current state of one object on a state chart."""

    __slots__ = ('_chart', 'state')

    def __init__(self, chart: StateChart) -> None:
        self._chart = chart
        self.state = chart.initial

    def allows(self, event: str) -> bool:
        """Return whether the event is legal in the current state."""
        return self._chart.allows(self.state, event)

    def fire(self, event: str) -> str:
        """Follow the transition of an event.

        :param event: the event that occurred.
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
            [transition.event, transition.source, transition.target]
            for transition in chart.transitions
        ],
    )


def _targets(machine: Machine) -> Iterator[tuple[StateEvent, str]]:
    for event in machine.events:
        for transition in machine.get_transitions(event):
            # The library has no target for a transition to the same state.
            yield (
                (transition.source, event),
                transition.dest or transition.source,
            )
