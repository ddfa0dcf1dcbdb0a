"""Steps about whole and broken answers."""

from __future__ import annotations

import time
from itertools import cycle
from random import Random

from behave import then, when

from support.caller import Caller
from support.crowd import (
    BROKEN,
    COMPLETE,
    TRUNCATED,
    ask_plain,
    ask_stream,
    post_service,
    show,
)
from support.fleet import eventually
from support.scene import Scene
from support.standard import ENTRIES, TOKEN, completion

_SEED = 7
_MOST_TOKENS = 40
_LONG_TOKENS = 250
_MIDDLE_SECONDS = 0.3
_SHORT = 'bytes=100000'
_LONG = 'bytes=600000'
_ASKS = (ask_plain, ask_stream, post_service)


@when(
    '{callers:d} callers ask at once and {leavers:d} more leave in the middle'
)
def when_many(context, callers: int, leavers: int):
    scene = context.scene
    random = Random(_SEED)
    asks = cycle(_ASKS)
    urls = cycle(scene.entry_urls())
    leave_at = set(random.sample(range(callers), leavers))
    for number in range(callers):
        ask, url = next(asks), next(urls)
        marker = f'own-{number}'
        wish = random.randint(1, _MOST_TOKENS)
        if ask is post_service:
            wish = f'delay_seconds={wish / 100}'
        scene.caller_pool.send(ask, scene.keep_alive_caller, url, marker, wish)
        if number in leave_at:
            context.left = scene.caller_pool.run(_leave, url, f'gone-{number}')


def _leave(url: str, marker: str) -> None:
    Caller(TOKEN).disconnect_midway(url, completion(marker, _MOST_TOKENS))


@then('each of them has exactly its own words')
def then_own_words(context):
    _expect(context.scene.caller_pool.results(), COMPLETE)


@when('every engine cuts its streams after {tokens:d} of {due:d} tokens')
def when_engines_cut(context, tokens: int, due: int):
    stand_ins = context.scene.stand_ins
    stand_ins.fault(*stand_ins.names(), cut_after_chunks=tokens)
    context.due = due
    context.sent = tokens


@then('streams through both entries end as cut, with an error event')
def then_streams_cut(context):
    scene = context.scene
    for entry in ENTRIES:
        url = scene.fleet.url(entry)
        told = ask_stream(scene.caller, url, f'cut-{entry}', context.due)
        assert told.outcome == TRUNCATED, told
        assert told.codes == ('answer_cut',), told
        assert told.response.broken and not told.response.complete, told
        assert len(told.response.text.split()) == context.sent, told


@when('the engines work again')
@when('the service works again')
def when_work_again(context):
    stand_ins = context.scene.stand_ins
    stand_ins.fault(*stand_ins.names())


@when('the service cuts its answers half-way')
def when_service_cuts(context):
    context.scene.stand_ins.fault('chart-0', cut_after_chunks=3)


@then('a short POST answer is told as {code} and ran once')
def then_short_post(context, code: str):
    _expect_post(context, 'short-post', _SHORT, code)


@then('a long POST answer breaks off and ran once')
def then_long_post(context):
    context.scene.stand_ins.fault('chart-0', cut_after_chunks=30)
    _expect_post(context, 'long-post', _LONG, BROKEN)


def _expect_post(context, marker: str, wish: str, outcome: str) -> None:
    scene = context.scene
    url = scene.fleet.url(ENTRIES[0])
    told = post_service(scene.caller, url, marker, wish)
    assert told.outcome == outcome, told
    assert not told.not_run, told
    assert scene.stand_ins.started(marker) == 1


@when('one engine and one service cut their answers half-way')
def when_one_cuts(context):
    context.scene.stand_ins.fault('engine-0', cut_after_chunks=3)
    context.scene.stand_ins.fault('chart-0', cut_after_chunks=0)


@then('plain completions and GETs through both entries are whole')
def then_plain_whole(context):
    scene = context.scene
    for number in range(4):
        for url in scene.entry_urls():
            marker = f'again-{number}-{url[-5:]}'
            scene.caller_pool.send(ask_plain, scene.caller, url, marker)
            get = (post_service, scene.caller, url, f'{marker}-get', '', 'GET')
            scene.caller_pool.send(*get)
    _expect(scene.caller_pool.results(), COMPLETE)
    for name in ('engine-0', 'chart-0'):
        assert scene.stand_ins.total(name), 'the fault was not met'


@when('{count:d} long streams run through {entry} and it is killed')
def when_entry_killed(context, count: int, entry: str):
    _run_long(context, count, [context.scene.fleet.url(entry)])
    context.scene.fleet.processes[entry].kill()


@then('those streams are broken and have no terminal')
def then_broken(context):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome not in {TRUNCATED, BROKEN}]
    assert not wrong, show(wrong)
    assert any(row.outcome == TRUNCATED for row in rows), (
        'none was in the middle'
    )
    assert all(row.response.broken for row in rows if row.response), rows


@then('the engines have cancelled what ran')
def then_cancelled(context):
    scene = context.scene
    eventually(lambda: _cancelled(scene, scene.stand_ins.names()) == 6)


@when('{count:d} long streams run through both entries and a side is killed')
def when_side_killed(context, count: int):
    scene = context.scene
    _run_long(context, count, scene.entry_urls())
    context.at_killed = set(scene.stand_ins.executions('engine-0'))
    assert 0 < len(context.at_killed) < count, context.at_killed
    scene.fleet.processes['side-engine-0'].kill()


@then('the streams of that side are cut with an error event, the others whole')
def then_side_cut(context):
    for row in context.scene.caller_pool.results():
        if row.marker in context.at_killed:
            assert row.outcome == TRUNCATED, row
            assert row.codes == ('answer_cut',), row
        else:
            assert row.outcome == COMPLETE, row


@then('the engine has cancelled what ran at that side')
def then_side_cancelled(context):
    scene, count = context.scene, len(context.at_killed)
    eventually(lambda: _cancelled(scene, ['engine-0']) == count)


def _run_long(context, count: int, urls: list[str]) -> None:
    scene, url = context.scene, cycle(urls)
    for number in range(count):
        marker = f'long-{number}'
        scene.caller_pool.send(
            ask_stream, scene.caller, next(url), marker, _LONG_TOKENS
        )
    engines = scene.stand_ins.names()
    eventually(lambda: sum(map(scene.stand_ins.total, engines)) == count)
    time.sleep(_MIDDLE_SECONDS)


def _cancelled(scene: Scene, names: list[str]) -> int:
    rows = [
        row
        for name in names
        for row in scene.stand_ins.executions(name).values()
    ]
    return sum(row['cancelled'] for row in rows)


def _expect(rows, outcome: str) -> None:
    wrong = [row for row in rows if row.outcome != outcome]
    assert rows and not wrong, show(wrong)
