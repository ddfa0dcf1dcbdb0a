"""Steps about processes that are not scheduled for a while."""

from __future__ import annotations

import time

from behave import then, when

from support.crowd import TRUNCATED, describe


@when('all sides stall for {seconds:g} s')
def when_sides_stall(context, seconds: float):
    _stall(context, _side_names(context), seconds)


@when('every server stalls for {seconds:g} s')
def when_servers_stall(context, seconds: float):
    _stall(context, context.scene.stand_ins.names(), seconds)


@when('{name:S} stalls for {seconds:g} s')
def when_stalls(context, name: str, seconds: float):
    _stall(context, [name], seconds)


@when('all sides are suspended permanently')
def when_suspended(context):
    context.suspended_at = time.monotonic()
    for name in _side_names(context):
        context.fleet.processes[name].freeze()


@then('each long stream is truncated within {seconds:g} s')
def then_truncated(context, seconds: float):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome != TRUNCATED]
    assert rows and not wrong, describe(wrong)
    took_seconds = time.monotonic() - context.suspended_at
    assert took_seconds < seconds, took_seconds


@then('each request has run once')
def then_run_once(context):
    counts = context.scene.stand_ins.all_started()
    assert counts and set(counts.values()) == {1}, counts


def _side_names(context) -> list[str]:
    return [f'side-{name}' for name in context.scene.stand_ins.names()]


def _stall(context, names: list[str], seconds: float) -> None:
    processes = [context.fleet.processes[name] for name in names]
    for process in processes:
        process.freeze()
    time.sleep(seconds)
    for process in processes:
        process.thaw()
