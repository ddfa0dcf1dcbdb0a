"""Command: cost of an event on a chart, by each way of following it.

Run ``python -m benchmarks.charts`` at the root of the repository. All ways
are measured in turn in one run, so that their ratios hold on a busy machine.
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
from sardinetrack.admission.book import AttemptEvent, AttemptState
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.charts import StateChart, TypedChart
from sardinetrack.charts.model import ChartFile

LOOPS = 20_000
ROUNDS = 9
MICROSECONDS = 1_000_000
EVENTS = ('arrive', 'start', 'finish')
ROW = '{:16} {:8.3f} us/event {:6.1f} to TypedChart'
TYPED_EVENTS = tuple(AttemptEvent(event) for event in EVENTS)
STATES = (AttemptState.HELD, AttemptState.RUNNING, AttemptState.FINISHED)


class Walk(ABC):
    """One way to take an attempt from its arrival to its end."""

    name: ClassVar[str]

    @abstractmethod
    def run(self) -> None:
        """Follow the three events once."""


class _Model:
    state = 'unseen'


class LibraryWalk(Walk):
    """Let the library's machine trigger each event on a model."""

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


class ChartWalk(Walk):
    """Fire each event on a chart state."""

    name = 'Chart'

    def __init__(self) -> None:
        self._chart = StateChart.load('attempt')

    def run(self) -> None:
        """Fire the events."""
        state = self._chart.start()
        for event in EVENTS:
            state.fire(event)


class TypedWalk(Walk):
    """Fire each event on a typed chart state."""

    name = 'TypedChart'

    def __init__(self) -> None:
        self._chart = TypedChart('attempt', AttemptState, AttemptEvent)

    def run(self) -> None:
        """Fire the events."""
        state = self._chart.start()
        for event in TYPED_EVENTS:
            state.fire(event)


class HandWalk(Walk):
    """Write each state by hand, unchecked, as the code did before."""

    name = 'by hand'

    def run(self) -> None:
        """Write the states."""
        model = _Model()
        for state in STATES:
            model.state = state


class AdmissionWalk(Walk):
    """Take a request through a side's whole admission: three events."""

    name = 'whole admission'

    def __init__(self) -> None:
        self._side = SlotAdmission('benchmark', 1)
        self._numbers = count()

    def run(self) -> None:
        """Start and end one request."""
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
        self._side.finished(now, arrival.attempt_id, whole=True, cost=1)


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--loops', type=int, default=LOOPS)
    loops = parser.parse_args().loops
    walks = (
        LibraryWalk(),
        ChartWalk(),
        TypedWalk(),
        HandWalk(),
        AdmissionWalk(),
    )
    rounds = [
        {walk.name: _microseconds(walk, loops) for walk in walks}
        for _ in range(ROUNDS)
    ]
    typed = median(figures[TypedWalk.name] for figures in rounds)
    for walk in walks:
        cost = median(figures[walk.name] for figures in rounds)
        print(ROW.format(walk.name, cost, cost / typed))


def _microseconds(walk: Walk, loops: int) -> float:
    begun_seconds = process_time()
    for _ in range(loops):
        walk.run()
    seconds = process_time() - begun_seconds
    return seconds * MICROSECONDS / (loops * len(EVENTS))


if __name__ == '__main__':
    main()
