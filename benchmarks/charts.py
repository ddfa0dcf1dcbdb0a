"""Command: cost of an event on a state chart, with each implementation.

Run ``python -m benchmarks.charts`` at the root of the repository. All
implementations are measured in turn in one run, so that their ratios hold on
a busy machine.
"""

from __future__ import annotations

import argparse
from abc import ABC, abstractmethod
from importlib import resources
from itertools import count
from statistics import median
from time import process_time
from typing import ClassVar

import msgspec
from transitions import Machine

from sardinetrack.admission.api import Arrival
from sardinetrack.admission.attempts import AttemptEvent, AttemptState
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.charts import StateChart, TypedStateChart
from sardinetrack.charts.model import ChartFile

LOOPS = 20_000
ROUNDS = 9
MICROSECONDS = 1_000_000
EVENTS = ('arrive', 'start', 'finish')
ROW = '{:16} {:8.3f} us/event {:6.1f} to TypedChart'
TYPED_EVENTS = tuple(AttemptEvent(event) for event in EVENTS)
STATES = (AttemptState.HELD, AttemptState.RUNNING, AttemptState.FINISHED)


class ChartRunner(ABC):
    """One implementation of an attempt's states, from arrival to end."""

    name: ClassVar[str]

    @abstractmethod
    def run(self) -> None:
        """Apply the three events once."""


class _Model:
    state = 'unseen'


class LibraryRunner(ChartRunner):
    """Triggers each event with the library's machine on a model."""

    name = 'library trigger'

    def __init__(self) -> None:
        path = resources.files('sardinetrack.charts') / 'attempt.json'
        chart = msgspec.json.decode(path.read_bytes(), type=ChartFile)
        self._machine = Machine(
            model=None,
            states=list(chart.states),
            initial=chart.initial,
            auto_transitions=False,
            transitions=[
                [arrow.event, arrow.source, arrow.target]
                for arrow in chart.transitions
            ],
        )

    def run(self) -> None:
        """Trigger the events."""
        model = _Model()
        for event in EVENTS:
            self._machine.events[event].trigger(model)


class StateChartRunner(ChartRunner):
    """Fires each event on a chart state."""

    name = 'Chart'

    def __init__(self) -> None:
        self._chart = StateChart.load('attempt')

    def run(self) -> None:
        """Fire the events."""
        state = self._chart.start()
        for event in EVENTS:
            state.fire(event)


class TypedChartRunner(ChartRunner):
    """Fires each event on a typed chart state."""

    name = 'TypedChart'

    def __init__(self) -> None:
        self._chart = TypedStateChart('attempt', AttemptState, AttemptEvent)

    def run(self) -> None:
        """Fire the events."""
        state = self._chart.start()
        for event in TYPED_EVENTS:
            state.fire(event)


class AssignmentRunner(ChartRunner):
    """Assigns each state directly and unchecked: the cost without a chart."""

    name = 'by hand'

    def run(self) -> None:
        """Assign the states."""
        model = _Model()
        for state in STATES:
            model.state = state


class AdmissionRunner(ChartRunner):
    """Runs a request through a side's complete admission: three events."""

    name = 'whole admission'

    def __init__(self) -> None:
        self._side = SlotAdmission('benchmark', 1)
        self._numbers = count()

    def run(self) -> None:
        """Start and finish one request."""
        now = float(next(self._numbers))
        arrival = Arrival(
            attempt_id=f'attempt-{now}',
            entry='entry',
            workspace='pilot',
            tag=0,
            hint_cost=1,
            grant=0,
            wait_seconds=1,
        )
        self._side.arrive(now, arrival)
        self._side.finished(now, arrival.attempt_id, is_complete=True, cost=1)


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--loops', type=int, default=LOOPS)
    loops = parser.parse_args().loops
    runners = (
        LibraryRunner(),
        StateChartRunner(),
        TypedChartRunner(),
        AssignmentRunner(),
        AdmissionRunner(),
    )
    rounds = [
        {runner.name: _microseconds(runner, loops) for runner in runners}
        for _ in range(ROUNDS)
    ]
    typed = median(figures[TypedChartRunner.name] for figures in rounds)
    for runner in runners:
        cost = median(figures[runner.name] for figures in rounds)
        print(ROW.format(runner.name, cost, cost / typed))


def _microseconds(runner: ChartRunner, loops: int) -> float:
    started_seconds = process_time()
    for _ in range(loops):
        runner.run()
    seconds = process_time() - started_seconds
    return seconds * MICROSECONDS / (loops * len(EVENTS))


if __name__ == '__main__':
    main()
