"""Steps about entries that receive strikes late."""

from __future__ import annotations

import time
from functools import partial
from itertools import cycle
from typing import Final

from behave import given, then, when

from support.crowd import COMPLETE, CallResult, describe, request_stream
from support.fleet import eventually
from support.late_entries import LateEntriesScene
from support.scene import Plan
from support.standard import ENTRIES

_MARKER: Final = 'kaboom'
_TOKENS: Final = 700
_MIDWAY_SECONDS: Final = 0.2


@given(
    'a fleet with {engines:d} engines whose entries '
    'reach each other {seconds:g} s late'
)
def given_late_entries(context, engines: int, seconds: float):
    context.scene = LateEntriesScene(Plan(engines=engines), seconds)
    context.fleet = context.scene.fleet
    context.scene.start()


@when(
    'a caller streams it {count:d} times through alternating entries, '
    'and the engine that runs it is killed midway'
)
def when_killed_midway(context, count: int):
    entries = cycle(ENTRIES)
    context.results = [
        _stream_and_kill(context, context.fleet.url(next(entries)))
        for _ in range(count)
    ]


def _stream_and_kill(context, url: str) -> CallResult:
    scene = context.scene
    future = scene.caller_pool.send(
        request_stream, scene.caller, url, _MARKER, _TOKENS
    )
    runs = partial(scene.stand_ins.started, _MARKER)
    running_servers = scene.running_servers()
    eventually(lambda: future.done() or any(map(runs, running_servers)))
    for name in filter(runs, running_servers):
        # By then the caller has received a part of the response.
        time.sleep(_MIDWAY_SECONDS)
        context.fleet.processes[name].kill()
    assert future.result().outcome != COMPLETE
    return future.result()


@then('the last {count:d} requests got the error {code}')
def then_last_rejected(context, count: int, code: str):
    last = context.results[-count:]
    assert all(result.outcome == code for result in last), describe(last)


@when('the entries can no longer reach each other')
def when_silent(context):
    for proxy in context.fleet.entry_proxies.values():
        proxy.freeze()
    context.started_at = time.monotonic()


@then('its response came within {seconds:g} s')
def then_responded(context, seconds: float):
    took_seconds = time.monotonic() - context.started_at
    assert took_seconds < seconds, took_seconds
