"""The shape of a chart's file."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct


class Transition(Struct, frozen=True, forbid_unknown_fields=True):
    """One arrow of a chart."""

    event: str
    source: str
    target: str


class ChartFile(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole chart as its file gives it."""

    about: str
    initial: str
    states: dict[str, str]
    """Each state with one sentence on what holds in it."""
    events: dict[str, str]
    """Each event with one sentence on what has happened."""
    transitions: tuple[Transition, ...]


def find_problems(chart: ChartFile) -> tuple[str, ...]:
    """Check that the parts of a chart fit together.

    :param chart: a file that has the right shape.
    :return: one sentence for each problem, none for a usable chart.
    """
    return (
        *_initial_problems(chart),
        *_transition_problems(chart),
        *_duplicates(chart),
        *_unused_events(chart),
        *_unreachable_states(chart),
    )


def _initial_problems(chart: ChartFile) -> Iterator[str]:
    if chart.initial not in chart.states:
        yield f'initial: no state {chart.initial}'


def _transition_problems(chart: ChartFile) -> Iterator[str]:
    for index, arrow in enumerate(chart.transitions):
        place = f'transitions[{index}]'
        if arrow.event not in chart.events:
            yield f'{place}.event: no event {arrow.event}'
        if arrow.source not in chart.states:
            yield f'{place}.source: no state {arrow.source}'
        if arrow.target not in chart.states:
            yield f'{place}.target: no state {arrow.target}'


def _duplicates(chart: ChartFile) -> Iterator[str]:
    seen: set[tuple[str, str]] = set()
    for arrow in chart.transitions:
        if (arrow.source, arrow.event) in seen:
            yield f'event {arrow.event} is ambiguous in state {arrow.source}'
        seen.add((arrow.source, arrow.event))


def _unused_events(chart: ChartFile) -> Iterator[str]:
    used = {arrow.event for arrow in chart.transitions}
    for event in chart.events:
        if event not in used:
            yield f'event {event} has no transition'


def _unreachable_states(chart: ChartFile) -> Iterator[str]:
    reached: set[str] = set()
    frontier = {chart.initial}
    while frontier:
        reached |= frontier
        frontier = {
            arrow.target
            for arrow in chart.transitions
            if arrow.source in frontier
        } - reached
    for state in chart.states:
        if state not in reached:
            yield f'state {state} is unreachable'
