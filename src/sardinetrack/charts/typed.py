"""Charts whose states and events the code names by enumerations."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Generic, TypeVar

from sardinetrack.charts.errors import IllegalEventError, InvalidChartError
from sardinetrack.charts.interpreter import Chart

StateT = TypeVar('StateT', bound=StrEnum)
EventT = TypeVar('EventT', bound=StrEnum)


class TypedChart(Generic[StateT, EventT]):
    """A chart of the package; its file and the enumerations agree."""

    def __init__(
        self,
        name: str,
        states: type[StateT],
        events: type[EventT],
    ) -> None:
        """Load a chart.

        :param name: of its file.
        :param states: exactly the states of the file.
        :param events: exactly the events of the file.
        :raises InvalidChartError: the file is no chart, or names others.
        """
        chart = Chart.load(name)
        problems = (
            *_differences('state', chart.states, states),
            *_differences('event', chart.events, events),
        )
        if problems:
            raise InvalidChartError(name, problems)
        self.name = name
        self.initial = states(chart.initial)
        self._moves = {
            (states(source), events(event)): states(target)
            for (source, event), target in chart.moves.items()
        }

    def after(self, state: StateT, event: EventT) -> StateT:
        """Find the state that an event leads to.

        :raises IllegalEventError: the state has no such transition.
        """
        target = self._moves.get((state, event))
        if target is None:
            raise IllegalEventError(self.name, state, event)
        return target

    def start(self) -> TypedState[StateT, EventT]:
        """Enter the initial state."""
        return TypedState(self)


class TypedState(Generic[StateT, EventT]):
    """Where one owner stands on its chart."""

    __slots__ = ('_chart', 'state')

    def __init__(self, chart: TypedChart[StateT, EventT]) -> None:
        """Stand in the chart's initial state."""
        self._chart = chart
        self.state = chart.initial

    def fire(self, event: EventT) -> StateT:
        """Follow the transition of an event.

        :param event: what has happened.
        :return: the new state.
        :raises IllegalEventError: the state has no such transition.
        """
        self.state = self._chart.after(self.state, event)
        return self.state


def _differences(
    kind: str,
    in_file: frozenset[str],
    in_code: Iterable[str],
) -> Iterator[str]:
    named = set(in_code)
    for name in sorted(in_file - named):
        yield f'{kind} {name} is not known to the code'
    for name in sorted(named - in_file):
        yield f'{kind} {name} is not in the file'
