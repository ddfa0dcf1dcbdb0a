"""Steps for the state charts."""

from __future__ import annotations

import json
import logging
from enum import StrEnum
from importlib import resources

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings, strategies

from sardinetrack.charts import (
    IllegalEventError,
    InvalidChartError,
    StateChart,
    TypedStateChart,
)

_CHARTS = ('attempt', 'breaker', 'drain', 'lease', 'link', 'view')
_MAX_CHOICE = 100


@when('the chart "{name}" is loaded twice')
def step_load_twice(context: Context, name: str) -> None:
    context.chart = StateChart.load(name)
    context.again = StateChart.load(name)


@then('both are the same chart')
def step_same_chart(context: Context) -> None:
    assert context.chart is context.again


@then('it starts in "{state}"')
def step_starts(context: Context, state: str) -> None:
    assert context.chart.start().state == state


@given('a new state on the chart "{name}"')
def step_start(context: Context, name: str) -> None:
    context.chart = StateChart.load(name)
    context.state = context.chart.start()


@given('another new state on the same chart')
def step_other_start(context: Context) -> None:
    context.other = context.chart.start()


@when('the events "{events}" are fired')
def step_fire(context: Context, events: str) -> None:
    for event in events.split():
        assert context.state.allows(event)
        assert context.state.fire(event) == context.state.state


@then('the state is "{state}"')
def step_state(context: Context, state: str) -> None:
    assert context.state.state == state, context.state.state


@then('the other state is "{state}"')
def step_other_state(context: Context, state: str) -> None:
    assert context.other.state == state


@then('the event "{event}" is illegal')
def step_illegal(context: Context, event: str) -> None:
    before = context.state.state
    assert not context.state.allows(event)
    try:
        context.state.fire(event)
    except IllegalEventError as error:
        location = (error.chart, error.state, error.event)
        assert location == (context.chart.name, before, event)
    else:
        raise AssertionError('the event was accepted')
    assert context.state.state == before


@given('a chart with the states "{states}" and the initial state "{initial}"')
def step_chart(context: Context, states: str, initial: str) -> None:
    context.content = {
        'about': 'A switch.',
        'initial': initial,
        'states': dict.fromkeys(states.split(), 'A state.'),
    }


@given('its events are "{events}" and its transitions "{transitions}"')
def step_transitions(context: Context, events: str, transitions: str) -> None:
    context.content['events'] = dict.fromkeys(events.split(), 'An event.')
    context.content['transitions'] = [
        dict(
            zip(
                ('source', 'event', 'target'),
                transition.split('-'),
                strict=True,
            )
        )
        for transition in transitions.split()
    ]


@when('the chart is parsed')
def step_read(context: Context) -> None:
    context.text_of_chart = json.dumps(context.content)


@then('it is rejected because "{reason}"')
def step_refused(context: Context, reason: str) -> None:
    _assert_refused(context.text_of_chart, reason)


@then('the chart text "{text}" is rejected because "{reason}"')
def step_text_refused(context: Context, text: str, reason: str) -> None:
    _assert_refused(text, reason)


@then('the chart "{name}" is rejected because "{reason}"')
def step_name_refused(context: Context, name: str, reason: str) -> None:
    try:
        StateChart.load(name)
    except InvalidChartError as error:
        assert reason in str(error)
    else:
        raise AssertionError('the chart was accepted')


def _assert_refused(text: str, reason: str) -> None:
    try:
        StateChart.parse('switch', text)
    except InvalidChartError as error:
        assert any(reason in problem for problem in error.problems), error
    else:
        raise AssertionError('the chart was accepted')


@then('random events lead to the same states as a plain table')
def step_differential(context: Context) -> None:
    _compare_with_table()


@settings(max_examples=500, derandomize=True, database=None)
@for_all(
    name=strategies.sampled_from(_CHARTS),
    choices=strategies.lists(strategies.integers(0, _MAX_CHOICE)),
)
def _compare_with_table(name: str, choices: list[int]) -> None:
    path = resources.files('sardinetrack.charts') / f'{name}.json'
    content = json.loads(path.read_bytes())
    events = sorted(content['events'])
    table = {
        (transition['source'], transition['event']): transition['target']
        for transition in content['transitions']
    }
    state = StateChart.load(name).start()
    expected = content['initial']
    for choice in choices:
        event = events[choice % len(events)]
        assert state.allows(event) == ((expected, event) in table)
        if state.allows(event):
            expected = table[expected, event]
            assert state.fire(event) == expected


@when(
    'the chart "{name}" is loaded with the states "{states}" and the events '
    '"{events}"',
)
def step_typed(context: Context, name: str, states: str, events: str) -> None:
    context.rejection = None
    try:
        TypedStateChart(name, _enumerate(states), _enumerate(events))
    except InvalidChartError as error:
        context.rejection = error


@then('the enumerations are rejected because "{reason}"')
def step_names_refused(context: Context, reason: str) -> None:
    assert context.rejection is not None, 'the enumerations were accepted'
    problems = context.rejection.problems
    assert len(problems) == 1, problems
    assert problems[0].startswith(reason), problems


def _enumerate(names: str) -> type[StrEnum]:
    return StrEnum('Names', {name.upper(): name for name in names.split()})


class _Collector(logging.Handler):
    def __init__(self) -> None:
        super().__init__(logging.DEBUG)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@when('all log records are collected while charts are parsed and events fired')
def step_collect(context: Context) -> None:
    collector = _Collector()
    root = logging.getLogger()
    level = root.level
    root.addHandler(collector)
    root.setLevel(logging.DEBUG)
    try:
        _read_and_fire()
    finally:
        root.setLevel(level)
        root.removeHandler(collector)
    context.records = collector.records


@then('the library has logged nothing at INFO or above')
def step_library_quiet(context: Context) -> None:
    logged = [
        record
        for record in context.records
        if record.name.startswith('transitions')
        and record.levelno >= logging.INFO
    ]
    assert not logged, logged


def _read_and_fire() -> None:
    for name in _CHARTS:
        path = resources.files('sardinetrack.charts') / f'{name}.json'
        chart = StateChart.parse(name, path.read_bytes())
        for _, event in chart.targets:
            state = chart.start()
            if state.allows(event):
                state.fire(event)
