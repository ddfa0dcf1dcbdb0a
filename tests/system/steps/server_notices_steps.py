"""Steps about backend servers that ask for no requests."""

from __future__ import annotations

import time

from behave import then, when

from support.crowd import COMPLETE, describe
from support.fleet import eventually


@when('{server} asks for {seconds:g} s of rest')
def when_asks_rest(context, server: str, seconds: float):
    scene = context.scene
    scene.stand_ins.fault(server, rest_seconds=seconds)
    eventually(lambda: scene.load(server)['limit'] == 0, within_seconds=5)
    scene.stand_ins.fault(server)


@when('{server} says that it leaves')
def when_leaves(context, server: str):
    scene = context.scene
    scene.stand_ins.fault(server, leaving=True)
    eventually(
        lambda: scene.load(server)['phase'] == 'draining', within_seconds=5
    )


@when('the next process of {server} does not leave')
def when_stays(context, server: str):
    context.scene.stand_ins.fault(server)


@then(
    'the side of {server} starts nothing for {seconds:g} s '
    'while {other} runs requests'
)
def then_starts_nothing(context, server: str, seconds: float, other: str):
    total = context.scene.stand_ins.total
    starts, runs = _count_starts(context, server), total(other)
    time.sleep(seconds)
    found = _count_starts(context, server) - starts
    assert not found, f'{found} requests started'
    assert total(other) > runs + 4, total(other) - runs


@then('{server} runs requests again within {seconds:g} s')
def then_runs_again(context, server: str, seconds: float):
    total = context.scene.stand_ins.total
    before = total(server)
    eventually(lambda: total(server) > before + 4, within_seconds=seconds)


@then('at most {count:d} callers have a response without a completion')
def then_few_without(context, count: int):
    rows = context.load.stop()
    wrong = [row for row in rows if row.outcome != COMPLETE]
    assert rows and len(wrong) <= count, describe(wrong)


def _count_starts(context, server: str) -> int:
    log = context.fleet.processes[f'side-{server}'].log_path.read_text()
    return log.count('side: start ')
