"""Steps for the emulator of crowds."""

from __future__ import annotations

import contextlib
import io
import shlex
from collections import Counter

from behave import then, when

from sardinetrack.emulator.crowd import Crowd
from sardinetrack.emulator.load import Shape, draw
from sardinetrack.emulator.orders import HomeOrder
from sardinetrack.run import main

_SECONDS = 20


def _play(rate, seed):
    shape = Shape()
    requests = draw(shape, rate, _SECONDS, seed)
    return Crowd(shape, HomeOrder()).play(requests, _SECONDS)


@when(
    'a crowd of {rate:d} requests a second is played twice with seed {seed:d}',
)
def play_twice(context, rate, seed):
    context.plays = [_play(rate, seed), _play(rate, seed)]


@then('both plays came to the same')
def same(context):
    assert context.plays[0] == context.plays[1]
    assert context.plays[0].asked > 0


@when('a crowd of {rate:d} requests a second is played with seed {seed:d}')
def play(context, rate, seed):
    context.outcome = _play(rate, seed)


@then('in time, late and refused add up to what was asked')
def adds_up(context):
    outcome = context.outcome
    assert outcome.refused > 0
    ended = outcome.in_time + outcome.late + outcome.refused
    assert ended == outcome.asked, outcome


@when(
    'a crowd of {rate:d} requests a second with a jump of {jump:d}'
    ' is drawn with seed {seed:d}',
)
def draw_jump(context, rate, jump, seed):
    seconds = 60
    shape = Shape(jump=jump)
    context.thirds = Counter(
        int(one.came_seconds * 3 / seconds)
        for one in draw(shape, rate, seconds, seed)
    )


@then(
    'the middle third holds between {least:g} and {most:g} times as many'
    ' as the others',
)
def middle(context, least, most):
    other = (context.thirds[0] + context.thirds[2]) / 2
    assert least <= context.thirds[1] / other <= most, context.thirds


@then('the workspace that fares worst is the flood')
def flood_worst(context):
    outcome = context.outcome
    assert outcome.worst_workspace == _part(outcome, 'flood')


@then(
    'each other workspace is served at least {times:g} times as often as it',
)
def others_better(context, times):
    outcome = context.outcome
    flood = _part(outcome, 'flood')
    for name in outcome.asked_by:
        if name != 'flood':
            assert _part(outcome, name) >= times * flood, name


def _part(outcome, name):
    return outcome.in_time_by[name] / outcome.asked_by[name]


@when('"sardinetrack {words}" is run in this process')
def run(context, words):
    written, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(written),
        contextlib.redirect_stderr(errors),
    ):
        try:
            context.code = main(shlex.split(words))
        except SystemExit as exit_:
            context.code = exit_.code
    context.written = written.getvalue()
    context.errors = errors.getvalue()


@then('it prints {rows:d} rows, {each:d} of them for each order')
def prints_rows(context, rows, each):
    lines = context.written.splitlines()[1:]
    assert len(lines) == rows, context.written
    orders = Counter(line[:8] for line in lines)
    assert all(count == each for count in orders.values()), orders


@then('it ends with code {code:d} and says "{reason}"')
def fails(context, code, reason):
    assert context.code == code, context.code
    assert reason in context.errors, context.errors
    assert 'Traceback' not in context.errors
