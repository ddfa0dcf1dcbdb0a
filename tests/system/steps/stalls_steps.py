"""Steps about processes that are not scheduled for a while."""

from __future__ import annotations

import time

from behave import then, when

from support.crowd import TRUNCATED, show


@when('all sides stall for {seconds:g} s')
def when_sides_stall(context, seconds: float):
    _stall(context, _sides(context), seconds)


@when('{name:S} stalls for {seconds:g} s')
def when_stalls(context, name: str, seconds: float):
    _stall(context, [name], seconds)


@when('all sides are frozen for good')
def when_frozen(context):
    context.frozen_at = time.monotonic()
    for name in _sides(context):
        context.fleet.processes[name].freeze()


@then('each long stream is cut within {seconds:g} s')
def then_cut(context, seconds: float):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome != TRUNCATED]
    assert rows and not wrong, show(wrong)
    taken = time.monotonic() - context.frozen_at
    assert taken < seconds, taken


def _sides(context) -> list[str]:
    return [f'side-{name}' for name in context.scene.stand_ins.names()]


def _stall(context, names: list[str], seconds: float) -> None:
    processes = [context.fleet.processes[name] for name in names]
    for process in processes:
        process.freeze()
    time.sleep(seconds)
    for process in processes:
        process.thaw()
