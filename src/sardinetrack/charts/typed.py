"""State charts whose states and events are enumerations in the code."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Generic, TypeVar

from sardinetrack.charts.errors import IllegalEventError, InvalidChartError
from sardinetrack.charts.interpreter import StateChart

StateT = TypeVar('StateT', bound=StrEnum)
EventT = TypeVar('EventT', bound=StrEnum)


class TypedStateChart(Generic[StateT, EventT]):
    """A state chart of this package, with enumerations that match its file."""

    def __init__(
        self,
        name: str,
        states: type[StateT],
        events: type[EventT],
    ) -> None:
        """Load a state chart.

        :param name: of the file, without its suffix.
        :param states: exactly the states of the file.
        :param events: exactly the events of the file.
        :raises InvalidChartError: the file is not a valid chart, or an
            enumeration differs from it.
        """
        chart = StateChart.load(name)
        problems = (
            *_differences('state', chart.states, states),
            *_differences('event', chart.events, events),
        )
        if problems:
            raise InvalidChartError(name, problems)
        self.name = name
        self.initial = states(chart.initial)
        self._targets = {
            (states(source), events(event)): states(target)
            for (source, event), target in chart.targets.items()
        }

    def after(self, state: StateT, event: EventT) -> StateT:
        """Return the state that an event leads to.

        :raises IllegalEventError: the state has no such transition.
        """
        target = self._targets.get((state, event))
        if target is None:
            raise IllegalEventError(self.name, state, event)
        return target

    def start(self) -> TypedState[StateT, EventT]:
        """Return a new ``TypedState`` in the initial state."""
        return TypedState(self)


class TypedState(Generic[StateT, EventT]):
    """Current state of one object on a state chart."""

    __slots__ = ('_chart', 'state')

    def __init__(self, chart: TypedStateChart[StateT, EventT]) -> None:
        self._chart = chart
        self.state = chart.initial

    def fire(self, event: EventT) -> StateT:
        """Follow the transition of an event.

        :param event: the event that occurred.
        :return: the new state.
        :raises IllegalEventError: the state has no such transition.
        """
        self.state = self._chart.after(self.state, event)
        return self.state


def _differences(
    kind: str,
    in_file: frozenset[str],
    in_enumeration: Iterable[str],
) -> Iterator[str]:
    known = set(in_enumeration)
    for name in sorted(in_file - known):
        yield f'{kind} {name} is not in the enumeration'
    for name in sorted(known - in_file):
        yield f'{kind} {name} is not in the file'
