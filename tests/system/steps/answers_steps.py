"""Steps about complete and interrupted responses."""

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
    describe,
    post_service,
    request_plain,
    request_stream,
)
from support.fleet import eventually
from support.scene import Scene
from support.standard import ENTRIES, TOKEN, completion

_SEED = 7
_STUTTER_ERRORS = ('outcome_unknown', 'not_run_no_server')
_MAX_TOKENS = 40
_LONG_TOKENS = 250
_MIDWAY_SECONDS = 0.3
_SHORT_QUERY = 'bytes=100000'
_LONG_QUERY = 'bytes=600000'
_REQUESTS = (request_plain, request_stream, post_service)


@when('{callers:d} callers send requests concurrently')
def when_concurrent(context, callers: int):
    when_many(context, callers, 0)


@when(
    '{callers:d} callers send requests concurrently '
    'and {disconnecting:d} more disconnect midway'
)
def when_many(context, callers: int, disconnecting: int):
    scene = context.scene
    random = Random(_SEED)
    requests = cycle(_REQUESTS)
    urls = cycle(scene.entry_urls())
    disconnect_at = set(random.sample(range(callers), disconnecting))
    for number in range(callers):
        send_request, url = next(requests), next(urls)
        marker = f'own-{number}'
        argument = random.randint(1, _MAX_TOKENS)
        if send_request is post_service:
            argument = f'delay_seconds={argument / 100}'
        scene.caller_pool.send(
            send_request, scene.keep_alive_caller, url, marker, argument
        )
        if number in disconnect_at:
            context.disconnected = scene.caller_pool.run(
                _disconnect, url, f'gone-{number}'
            )


def _disconnect(url: str, marker: str) -> None:
    Caller(TOKEN).disconnect_midway(url, completion(marker, _MAX_TOKENS))


@then('each of them receives exactly its own words')
def then_own_words(context):
    _expect(context.scene.caller_pool.results(), COMPLETE)


@when(
    'every engine interrupts its streams '
    'after {tokens:d} of {expected:d} tokens'
)
def when_engines_interrupt(context, tokens: int, expected: int):
    stand_ins = context.scene.stand_ins
    stand_ins.fault(*stand_ins.names(), cut_after_chunks=tokens)
    context.expected_tokens = expected
    context.sent_tokens = tokens


@then('streams through both entries are truncated, with an error event')
def then_streams_truncated(context):
    scene = context.scene
    for entry in ENTRIES:
        url = scene.fleet.url(entry)
        result = request_stream(
            scene.caller, url, f'cut-{entry}', context.expected_tokens
        )
        assert result.outcome == TRUNCATED, result
        assert result.codes == ('answer_cut',), result
        assert result.response.broken and not result.response.complete, result
        assert len(result.response.text.split()) == context.sent_tokens, result


@when('every server sends each response again after {seconds:g} seconds')
def when_servers_stutter(context, seconds: float):
    stand_ins = context.scene.stand_ins
    stand_ins.fault(*stand_ins.names(), second_response_seconds=seconds)
    context.stutter_seconds = seconds


@then('each of them receives exactly its own words or an error')
def then_own_or_error(context):
    rows = context.scene.caller_pool.results()
    allowed = {COMPLETE, *_STUTTER_ERRORS}
    wrong = [row for row in rows if row.outcome not in allowed]
    assert rows and not wrong, describe(wrong)


@then('at least {count:d} of them receive their own words')
def then_some_own(context, count: int):
    rows = context.scene.caller_pool.results()
    complete = [row for row in rows if row.outcome == COMPLETE]
    assert len(complete) >= count, describe(rows)


@when('every server responds once again')
def when_stutter_ends(context):
    when_work_again(context)
    # Second responses that are due already are still sent.
    time.sleep(2 * context.stutter_seconds)


@when('the engines work again')
@when('the service works again')
def when_work_again(context):
    stand_ins = context.scene.stand_ins
    stand_ins.fault(*stand_ins.names())


@when('the service interrupts its responses midway')
def when_service_interrupts(context):
    context.scene.stand_ins.fault('chart-0', cut_after_chunks=3)


@then('a POST with a short response gets the error {code} and ran once')
def then_short_post(context, code: str):
    _expect_post(context, 'short-post', _SHORT_QUERY, code)


@then('a POST with a long response is interrupted and ran once')
def then_long_post(context):
    context.scene.stand_ins.fault('chart-0', cut_after_chunks=30)
    _expect_post(context, 'long-post', _LONG_QUERY, BROKEN)


def _expect_post(context, marker: str, query: str, outcome: str) -> None:
    scene = context.scene
    url = scene.fleet.url(ENTRIES[0])
    result = post_service(scene.caller, url, marker, query)
    assert result.outcome == outcome, result
    assert not result.not_run, result
    assert scene.stand_ins.started(marker) == 1


@when('one engine and one service interrupt their responses midway')
def when_one_interrupts(context):
    context.scene.stand_ins.fault('engine-0', cut_after_chunks=3)
    context.scene.stand_ins.fault('chart-0', cut_after_chunks=0)


@then('plain completions and GETs through both entries are complete')
def then_plain_complete(context):
    scene = context.scene
    for number in range(4):
        for url in scene.entry_urls():
            marker = f'again-{number}-{url[-5:]}'
            scene.caller_pool.send(request_plain, scene.caller, url, marker)
            get = (post_service, scene.caller, url, f'{marker}-get', '', 'GET')
            scene.caller_pool.send(*get)
    _expect(scene.caller_pool.results(), COMPLETE)
    for name in ('engine-0', 'chart-0'):
        assert scene.stand_ins.total(name), 'the fault did not occur'


@when('{count:d} long streams run through {entry} and it is killed')
def when_entry_killed(context, count: int, entry: str):
    _run_long(context, count, [context.scene.fleet.url(entry)])
    context.scene.fleet.processes[entry].kill()


@then('those streams are interrupted and have no final event')
def then_interrupted(context):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome not in {TRUNCATED, BROKEN}]
    assert not wrong, describe(wrong)
    assert any(row.outcome == TRUNCATED for row in rows), (
        'none was interrupted midway'
    )
    assert all(row.response.broken for row in rows if row.response), rows


@then('the engines have cancelled the running requests')
def then_cancelled(context):
    scene = context.scene
    eventually(lambda: _cancelled(scene, scene.stand_ins.names()) == 6)


@when('{count:d} long streams run through both entries and a side is killed')
def when_side_killed(context, count: int):
    scene = context.scene
    _run_long(context, count, scene.entry_urls())
    context.on_killed_side = set(scene.stand_ins.executions('engine-0'))
    assert 0 < len(context.on_killed_side) < count, context.on_killed_side
    scene.fleet.processes['side-engine-0'].kill()


@then(
    'the streams of that side are truncated with an error event, '
    'the others complete'
)
def then_side_truncated(context):
    for row in context.scene.caller_pool.results():
        if row.marker in context.on_killed_side:
            assert row.outcome == TRUNCATED, row
            assert row.codes == ('answer_cut',), row
        else:
            assert row.outcome == COMPLETE, row


@then('the engine has cancelled the requests of that side')
def then_side_cancelled(context):
    scene, count = context.scene, len(context.on_killed_side)
    eventually(lambda: _cancelled(scene, ['engine-0']) == count)


def _run_long(context, count: int, urls: list[str]) -> None:
    scene, url = context.scene, cycle(urls)
    for number in range(count):
        marker = f'long-{number}'
        scene.caller_pool.send(
            request_stream, scene.caller, next(url), marker, _LONG_TOKENS
        )
    engines = scene.stand_ins.names()
    eventually(lambda: sum(map(scene.stand_ins.total, engines)) == count)
    time.sleep(_MIDWAY_SECONDS)


def _cancelled(scene: Scene, names: list[str]) -> int:
    rows = [
        row
        for name in names
        for row in scene.stand_ins.executions(name).values()
    ]
    return sum(row['cancelled'] for row in rows)


def _expect(rows, outcome: str) -> None:
    wrong = [row for row in rows if row.outcome != outcome]
    assert rows and not wrong, describe(wrong)
