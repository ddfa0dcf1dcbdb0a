"""Steps about requests that crash the servers that run them."""

from __future__ import annotations

from itertools import cycle
from types import MappingProxyType

from behave import given, then, when
from failure_steps import start_scene

from support.crowd import COMPLETE, TRUNCATED, ask_plain, ask_stream, show
from support.fleet import eventually
from support.scene import Plan
from support.standard import ENTRIES

_MARKER = 'kaboom'
_TOKENS = 80
_ASKS = (ask_plain, ask_stream)
_WAYS = MappingProxyType(
    {
        'plain': (ask_plain,),
        'streamed': (ask_stream,),
        'now and again streamed': (ask_plain, ask_plain, ask_stream),
    }
)
_CONDEMNED = 'crashes_servers'
_TRUE = frozenset(
    (COMPLETE, TRUNCATED, 'server_failed', 'outcome_unknown', 'answer_cut')
)


@given('a failing fleet with {engines:d} engines behind wires')
def given_wired_engines(context, engines: int):
    start_scene(context, Plan(engines=engines, sides_proxied=True))
    context.innocent = {}


@when('every engine is killed by a request marked "{marker}"')
def when_killed_by(context, marker: str):
    _fault(context, crash_marker=f'id={marker} ', crash_kills_process=True)


@when('every engine breaks off all by a request marked "{marker}"')
def when_breaks_by(context, marker: str):
    _fault(context, crash_marker=f'id={marker} ', restart_seconds=1)


def _fault(context, **faults) -> None:
    stand_ins = context.scene.stand_ins
    stand_ins.fault(*stand_ins.names(), **faults)
    context.innocent = {}


@when('a caller sends it {count:d} times in turn through both entries, {way}')
def when_sent(context, count: int, way: str):
    asks = cycle(_WAYS[way])
    entries = cycle(ENTRIES)
    for _ in range(count):
        _send(context, next(asks), next(entries))


@when('a caller sends it {count:d} times in turn through {entry:S}')
def when_sent_through(context, count: int, entry: str):
    for _ in range(count):
        _send(context, ask_plain, entry)


def _send(context, ask, entry: str) -> None:
    scene = context.scene
    told = ask(scene.caller, scene.fleet.url(entry), _MARKER)
    assert told.outcome != COMPLETE, told


@when('{entry} is killed and started anew')
def when_entry_restarted(context, entry: str):
    scene = context.scene
    scene.fleet.processes[entry].kill()
    scene.fleet.start_entry(entry, **scene.plan.entry)
    scene.fleet.wait_ready(entry)
    scene.wait_linked()


@then('at most {limit:d} engines have run it')
def then_at_most(context, limit: int):
    died = [
        name
        for name in context.scene.stand_ins.names()
        if not context.fleet.processes[name].running
        or context.scene.stand_ins.started(_MARKER, name)
    ]
    assert 0 < len(died) <= limit, died


@then('the later sendings are told as crashes_servers')
def then_condemned(context):
    scene = context.scene
    for entry in ENTRIES:
        for ask in _ASKS:
            told = ask(scene.caller, scene.fleet.url(entry), _MARKER)
            assert told.outcome == _CONDEMNED, told
            assert told.not_run, told


@when('innocent requests, plain and streamed, run at all engines')
def when_innocent(context):
    scene = context.scene
    asks = cycle(_ASKS)
    urls = cycle(scene.entry_urls())
    names = scene.running_servers()
    context.innocent = {
        f'innocent-{number}': (next(asks), next(urls))
        for number in range(3 * len(names))
    }
    context.running = [
        scene.caller_pool.run(ask, scene.caller, url, marker, _TOKENS)
        for marker, (ask, url) in context.innocent.items()
    ]
    eventually(lambda: all(scene.load(name)['running'] for name in names))


@when('the wires to all sides break for a moment')
def when_wires_blink(context):
    for wire in context.scene.proxies.values():
        wire.cut()
        wire.restore()


@then('the innocent callers were told the truth')
def then_innocent_truth(context):
    rows = [future.result() for future in context.running]
    counts = context.scene.stand_ins.all_started()
    wrong = [
        row
        for row in rows
        if row.outcome not in _TRUE and not (row.not_run and row.outcome)
    ]
    assert not wrong, show(wrong)
    false = [row for row in rows if row.not_run and counts[row.marker]]
    assert not false, show(false)
    assert not any(row.outcome == _CONDEMNED for row in rows), show(rows)


@when('the innocent callers send their requests again')
def when_innocent_again(context):
    scene = context.scene
    for entry in scene.entry_urls():
        scene.wait_in_use(_name_of(scene, entry), len(scene.running_servers()))
    context.again = [
        scene.caller_pool.run(ask, scene.caller, url, marker, _TOKENS)
        for marker, (ask, url) in context.innocent.items()
    ]


def _name_of(scene, url: str) -> str:
    return next(name for name in ENTRIES if scene.fleet.url(name) == url)


@then('all of these are whole')
def then_again_whole(context):
    rows = [future.result() for future in context.again]
    wrong = [row for row in rows if row.outcome != COMPLETE]
    assert rows and not wrong, show(wrong)
