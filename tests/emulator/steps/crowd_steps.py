"""Steps for the emulator."""

from __future__ import annotations

import contextlib
import io
import shlex
from collections import Counter

from behave import then, when

from sardinetrack.emulator.load import LoadProfile, draw_requests
from sardinetrack.emulator.policies import HomeServerPolicy
from sardinetrack.emulator.simulation import Simulation
from sardinetrack.run import main

_SECONDS = 20


def _simulate(rate, seed):
    shape = LoadProfile()
    requests = draw_requests(shape, rate, _SECONDS, seed)
    return Simulation(shape, HomeServerPolicy()).run_load(requests, _SECONDS)


@when(
    'a load of {rate:d} requests a second is simulated twice'
    ' with seed {seed:d}',
)
def simulate_twice(context, rate, seed):
    context.outcomes = [_simulate(rate, seed), _simulate(rate, seed)]


@then('both simulations have the same outcome')
def same(context):
    assert context.outcomes[0] == context.outcomes[1]
    assert context.outcomes[0].asked > 0


@when('a load of {rate:d} requests a second is simulated with seed {seed:d}')
def simulate(context, rate, seed):
    context.outcome = _simulate(rate, seed)


@then('in time, late and refused add up to the number of requests')
def adds_up(context):
    outcome = context.outcome
    assert outcome.refused > 0
    ended = outcome.in_time + outcome.late + outcome.refused
    assert ended == outcome.asked, outcome


@when(
    'a load of {rate:d} requests a second with a step of {step:d}'
    ' is drawn with seed {seed:d}',
)
def draw_step(context, rate, step, seed):
    seconds = 60
    shape = LoadProfile(rate_step=step)
    context.thirds = Counter(
        int(one.arrived_seconds * 3 / seconds)
        for one in draw_requests(shape, rate, seconds, seed)
    )


@then(
    'the middle third has between {minimum:g} and {maximum:g} times as many'
    ' as the others',
)
def middle_third(context, minimum, maximum):
    other = (context.thirds[0] + context.thirds[2]) / 2
    assert minimum <= context.thirds[1] / other <= maximum, context.thirds


@then('the workspace with the lowest fraction in time is the flood')
def flood_worst(context):
    outcome = context.outcome
    assert outcome.worst_workspace == _fraction_in_time(outcome, 'flood')


@then(
    'each other workspace has at least {times:g} times its fraction in time',
)
def others_better(context, times):
    outcome = context.outcome
    flood = _fraction_in_time(outcome, 'flood')
    for name in outcome.asked_by:
        if name != 'flood':
            assert _fraction_in_time(outcome, name) >= times * flood, name


def _fraction_in_time(outcome, name):
    return outcome.in_time_by[name] / outcome.asked_by[name]


@when('"sardinetrack {words}" is run in this process')
def run(context, words):
    output, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        try:
            context.code = main(shlex.split(words))
        except SystemExit as exit_:
            context.code = exit_.code
    context.output = output.getvalue()
    context.errors = errors.getvalue()


@then('it prints {rows:d} rows, {each:d} of them for each policy')
def prints_rows(context, rows, each):
    lines = context.output.splitlines()[1:]
    assert len(lines) == rows, context.output
    policies = Counter(line[:8] for line in lines)
    assert all(count == each for count in policies.values()), policies


@then('it ends with code {code:d} and prints "{reason}"')
def fails(context, code, reason):
    assert context.code == code, context.code
    assert reason in context.errors, context.errors
    assert 'Traceback' not in context.errors
