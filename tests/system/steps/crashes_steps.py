"""Steps about requests that crash the servers that run them."""

from __future__ import annotations

from itertools import cycle
from types import MappingProxyType

from behave import given, then, when
from failure_steps import start_scene

from support.crowd import (
    COMPLETE,
    TRUNCATED,
    describe,
    request_plain,
    request_stream,
)
from support.fleet import eventually
from support.scene import Plan
from support.standard import ENTRIES

_MARKER = 'kaboom'
_TOKENS = 80
_REQUESTS = (request_plain, request_stream)
_REQUESTS_BY_WAY = MappingProxyType(
    {
        'plain': (request_plain,),
        'streamed': (request_stream,),
        'every third time streamed': (
            request_plain,
            request_plain,
            request_stream,
        ),
    }
)
_REJECTED_CODE = 'crashes_servers'
_TRUE_OUTCOMES = frozenset(
    (COMPLETE, TRUNCATED, 'server_failed', 'outcome_unknown', 'answer_cut')
)


@given('a fleet with {engines:d} engines behind TCP proxies')
def given_proxied_engines(context, engines: int):
    start_scene(context, Plan(engines=engines, sides_proxied=True))
    context.harmless = {}


@when('every engine is killed by a request marked "{marker}"')
def when_killed_by(context, marker: str):
    _fault(context, crash_marker=f'id={marker} ', crash_kills_process=True)


@when('every engine is restarted by a request marked "{marker}"')
def when_restarted_by(context, marker: str):
    _fault(context, crash_marker=f'id={marker} ', restart_seconds=1)


def _fault(context, **faults) -> None:
    stand_ins = context.scene.stand_ins
    stand_ins.fault(*stand_ins.names(), **faults)
    context.harmless = {}


@when('a caller sends it {count:d} times through alternating entries, {way}')
def when_sent(context, count: int, way: str):
    requests = cycle(_REQUESTS_BY_WAY[way])
    entries = cycle(ENTRIES)
    for _ in range(count):
        _send(context, next(requests), next(entries))


@when('a caller sends it {count:d} times through {entry:S}')
def when_sent_through(context, count: int, entry: str):
    for _ in range(count):
        _send(context, request_plain, entry)


def _send(context, send_request, entry: str) -> None:
    scene = context.scene
    result = send_request(scene.caller, scene.fleet.url(entry), _MARKER)
    assert result.outcome != COMPLETE, result


@when('{entry} is killed and started again')
def when_entry_restarted(context, entry: str):
    scene = context.scene
    scene.fleet.processes[entry].kill()
    scene.fleet.start_entry(entry, **scene.plan.entry)
    scene.fleet.wait_ready(entry)
    scene.wait_linked()


@then('at most {limit:d} engines have run it')
def then_at_most(context, limit: int):
    crashed = [
        name
        for name in context.scene.stand_ins.names()
        if not context.fleet.processes[name].running
        or context.scene.stand_ins.started(_MARKER, name)
    ]
    assert 0 < len(crashed) <= limit, crashed


@then('it is rejected as crashes_servers when it is sent again')
def then_rejected(context):
    scene = context.scene
    for entry in ENTRIES:
        for send_request in _REQUESTS:
            result = send_request(scene.caller, scene.fleet.url(entry), _MARKER)
            assert result.outcome == _REJECTED_CODE, result
            assert result.not_run, result


@when('harmless requests, plain and streamed, run at all engines')
def when_harmless(context):
    scene = context.scene
    requests = cycle(_REQUESTS)
    urls = cycle(scene.entry_urls())
    names = scene.running_servers()
    context.harmless = {
        f'innocent-{number}': (next(requests), next(urls))
        for number in range(3 * len(names))
    }
    context.running = [
        scene.caller_pool.run(send_request, scene.caller, url, marker, _TOKENS)
        for marker, (send_request, url) in context.harmless.items()
    ]
    eventually(lambda: all(scene.load(name)['running'] for name in names))


@when('the network paths to all sides are interrupted for a moment')
def when_paths_interrupted(context):
    for proxy in context.scene.proxies.values():
        proxy.cut()
        proxy.restore()


@then(
    'the responses to the harmless requests are consistent with the executions'
)
def then_harmless_consistent(context):
    rows = [future.result() for future in context.running]
    counts = context.scene.stand_ins.all_started()
    wrong = [
        row
        for row in rows
        if row.outcome not in _TRUE_OUTCOMES
        and not (row.not_run and row.outcome)
    ]
    assert not wrong, describe(wrong)
    false = [row for row in rows if row.not_run and counts[row.marker]]
    assert not false, describe(false)
    assert not any(row.outcome == _REJECTED_CODE for row in rows), describe(
        rows
    )


@when('the harmless requests are sent again')
def when_harmless_again(context):
    scene = context.scene
    for entry in scene.entry_urls():
        scene.wait_in_use(_entry_at(scene, entry), len(scene.running_servers()))
    context.sent_again = [
        scene.caller_pool.run(send_request, scene.caller, url, marker, _TOKENS)
        for marker, (send_request, url) in context.harmless.items()
    ]


def _entry_at(scene, url: str) -> str:
    return next(name for name in ENTRIES if scene.fleet.url(name) == url)


@then('all of these are complete')
def then_again_complete(context):
    rows = [future.result() for future in context.sent_again]
    wrong = [row for row in rows if row.outcome != COMPLETE]
    assert rows and not wrong, describe(wrong)
