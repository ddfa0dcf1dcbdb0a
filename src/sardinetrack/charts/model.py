"""Schema of the state chart files, and their validation."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct


class Transition(Struct, frozen=True, forbid_unknown_fields=True):
    """One transition of a state chart."""

    event: str
    source: str
    target: str


class ChartFile(Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a state chart file."""

    about: str
    initial: str
    states: dict[str, str]
    """Each state with one sentence that describes it."""
    events: dict[str, str]
    """Each event with one sentence that describes it."""
    transitions: tuple[Transition, ...]


def find_problems(chart: ChartFile) -> tuple[str, ...]:
    """Check that the content of a chart file is consistent.

    :param chart: a file that matches the schema.
    :return: one text for each problem, none for a valid chart.
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
        yield f'initial: unknown state {chart.initial}'


def _transition_problems(chart: ChartFile) -> Iterator[str]:
    for index, transition in enumerate(chart.transitions):
        location = f'transitions[{index}]'
        if transition.event not in chart.events:
            yield f'{location}.event: unknown event {transition.event}'
        if transition.source not in chart.states:
            yield f'{location}.source: unknown state {transition.source}'
        if transition.target not in chart.states:
            yield f'{location}.target: unknown state {transition.target}'


def _duplicates(chart: ChartFile) -> Iterator[str]:
    seen: set[tuple[str, str]] = set()
    for transition in chart.transitions:
        if (transition.source, transition.event) in seen:
            yield (
                f'event {transition.event} is ambiguous '
                f'in state {transition.source}'
            )
        seen.add((transition.source, transition.event))


def _unused_events(chart: ChartFile) -> Iterator[str]:
    used = {transition.event for transition in chart.transitions}
    for event in chart.events:
        if event not in used:
            yield f'event {event} has no transition'


def _unreachable_states(chart: ChartFile) -> Iterator[str]:
    reached: set[str] = set()
    frontier = {chart.initial}
    while frontier:
        reached |= frontier
        frontier = {
            transition.target
            for transition in chart.transitions
            if transition.source in frontier
        } - reached
    for state in chart.states:
        if state not in reached:
            yield f'state {state} is unreachable'
