"""Steps about entries that hear of crashes late."""

from __future__ import annotations

import time
from functools import partial
from itertools import cycle
from typing import Final

from behave import given, then, when

from support.crowd import COMPLETE, Told, ask_stream, show
from support.fleet import eventually
from support.late_entries import LateEntriesScene
from support.scene import Plan
from support.standard import ENTRIES

_MARKER: Final = 'kaboom'
_TOKENS: Final = 700
_MIDWAY_SECONDS: Final = 0.2


@given(
    'a failing fleet with {engines:d} engines whose entries '
    'hear of each other {seconds:g} s late'
)
def given_late_entries(context, engines: int, seconds: float):
    context.scene = LateEntriesScene(Plan(engines=engines), seconds)
    context.fleet = context.scene.fleet
    context.scene.start()


@when(
    'a caller streams it {count:d} times in turn, '
    'and the engine that runs it is killed midway'
)
def when_killed_midway(context, count: int):
    entries = cycle(ENTRIES)
    context.sendings = [
        _stream_and_kill(context, context.fleet.url(next(entries)))
        for _ in range(count)
    ]


def _stream_and_kill(context, url: str) -> Told:
    scene = context.scene
    asked = scene.caller_pool.send(
        ask_stream, scene.caller, url, _MARKER, _TOKENS
    )
    runs = partial(scene.stand_ins.started, _MARKER)
    running_servers = scene.running_servers()
    eventually(lambda: asked.done() or any(map(runs, running_servers)))
    for name in filter(runs, running_servers):
        # A part of the answer has gone out by then.
        time.sleep(_MIDWAY_SECONDS)
        context.fleet.processes[name].kill()
    assert asked.result().outcome != COMPLETE
    return asked.result()


@then('the last {count:d} sendings were told as {code}')
def then_last_told(context, count: int, code: str):
    last = context.sendings[-count:]
    assert all(told.outcome == code for told in last), show(last)


@when('the entries hear of each other no more')
def when_silent(context):
    for wire in context.fleet.entry_proxies.values():
        wire.freeze()
    context.began = time.monotonic()


@then('its answer came within {seconds:g} s')
def then_answered(context, seconds: float):
    taken = time.monotonic() - context.began
    assert taken < seconds, taken
