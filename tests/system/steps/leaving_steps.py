"""Steps about servers and processes that drain or crash."""

from __future__ import annotations

import threading
import time
from itertools import cycle

from behave import then, when

from support.crowd import (
    BROKEN,
    COMPLETE,
    REFUSED,
    TRUNCATED,
    CallResult,
    describe,
    request_plain,
    request_stream,
)
from support.fleet import eventually
from support.scene import Scene
from support.slots import check_slots
from support.standard import ENTRIES, MODEL

_LONG_TOKENS = 700
_TOKENS = 30
_LATE_MARKER = 'late'
_CALLERS = 10
_MAX_TRIES = 20
_TRUE_FAILURES = frozenset(
    ('server_failed', 'outcome_unknown', 'answer_cut', TRUNCATED)
)


class Load:
    """Callers that keep sending requests until they are stopped."""

    def __init__(self, scene: Scene) -> None:
        """Start the callers."""
        self._scene = scene
        self._stopped = threading.Event()
        self._futures = [
            scene.caller_pool.run(self._send_all, number)
            for number in range(_CALLERS)
        ]

    def stop(self) -> list[CallResult]:
        """Let the callers finish.

        :return: the last result of each request.
        """
        self._stopped.set()
        return [row for future in self._futures for row in future.result()]

    def _send_all(self, caller: int) -> list[CallResult]:
        send_request = request_stream if caller % 2 else request_plain
        entries = cycle(ENTRIES if caller % 4 < 2 else reversed(ENTRIES))
        results: list[CallResult] = []
        while not self._stopped.is_set():
            marker = f'load-{caller}-{len(results)}'
            results.append(self._send(send_request, entries, marker))
        return results

    def _send(self, send_request, entries, marker: str) -> CallResult:
        # As a balancer: try the next entry only if the request has definitely
        # not run.
        for _ in range(_MAX_TRIES):
            url = self._scene.fleet.url(next(entries))
            result = send_request(self._scene.caller, url, marker, _TOKENS)
            if not result.not_run:
                break
            time.sleep(0.05)
        return result


@when('a long stream runs at each engine')
def when_long(context):
    scene = context.scene
    url = scene.fleet.url(ENTRIES[0])
    names = scene.stand_ins.names()
    markers = [f'whole-{number}' for number in range(2 * scene.plan.slots)]
    for marker in markers:
        scene.caller_pool.send(
            request_stream, scene.caller, url, marker, _LONG_TOKENS
        )
    eventually(lambda: all(scene.load(name)['running'] for name in names))
    # An entry that drains would refuse a stream that it has not accepted.
    started = scene.stand_ins.started
    eventually(lambda: all(map(started, markers)))


@when('{count:d} long streams run through {entry:S}')
def when_long_through(context, count: int, entry: str):
    scene = context.scene
    url = scene.fleet.url(entry)
    markers = [f'drained-{number}' for number in range(count)]
    for marker in markers:
        scene.caller_pool.send(
            request_stream, scene.caller, url, marker, _LONG_TOKENS
        )
    started = scene.stand_ins.started
    eventually(lambda: all(map(started, markers)))


@when('the platform lists the side of {server} as leaving')
def when_listed_leaving(context, server: str):
    fleet, name = context.fleet, f'side-{server}'
    fleet.list_instance(
        name,
        role='side',
        address=fleet.processes[name].ready['peer_address'],
        pool=MODEL,
        backend_server=server,
        state='leaving',
    )


@when('callers keep sending requests through both entries')
def when_keep_sending(context):
    context.load = Load(context.scene)
    context.add_cleanup(context.load.stop)
    names = context.scene.stand_ins.names()
    total = context.scene.stand_ins.total
    eventually(lambda: all(total(name) > 4 for name in names))


@when('the side of {server} receives SIGTERM')
def when_side_terminated(context, server: str):
    _terminate(context, f'side-{server}')


@when('{entry} receives SIGTERM')
def when_entry_terminated(context, entry: str):
    _terminate(context, entry)


@when('{entry} receives SIGTERM twice')
def when_entry_terminated_twice(context, entry: str):
    _terminate(context, entry)
    time.sleep(0.5)
    assert context.terminated.running, 'the streams still run'
    context.terminated.terminate()


def _terminate(context, name: str) -> None:
    context.terminated = context.fleet.processes[name]
    context.terminated.terminate()


@when('the side of {server} is killed')
def when_leaving_side_killed(context, server: str):
    context.fleet.processes[f'side-{server}'].kill()


@when('{server} is killed')
def when_server_killed(context, server: str):
    context.fleet.processes[server].kill()


@then('the process exits with code {code:d}')
def then_exits(context, code: int):
    found = context.terminated.wait()
    assert found == code, (found, context.terminated.log_tail())


@when('another caller sends a request to {entry} {seconds:g} s later')
def when_late_caller(context, entry: str, seconds: float):
    scene = context.scene
    time.sleep(seconds)
    url = scene.fleet.url(entry)
    context.late = request_stream(scene.caller, url, _LATE_MARKER)


@then('this caller gets {code:S}, and no engine has started its request')
def then_late_not_run(context, code: str):
    assert context.late.outcome == code, context.late
    assert context.late.not_run, context.late
    context.terminated.wait()
    assert not context.scene.stand_ins.started(_LATE_MARKER)


@then('the process exits before its streams are complete')
def then_exits_early(context):
    context.terminated.wait()
    rows = context.scene.caller_pool.results()
    complete = [row for row in rows if row.outcome == COMPLETE]
    assert not complete, describe(complete)


@then('no truncated stream looks complete')
def then_none_complete(context):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome not in {TRUNCATED, BROKEN}]
    assert rows and not wrong, describe(wrong)


@then('{server} gets no new requests after {seconds:g} s')
def then_no_new_requests(context, server: str, seconds: float):
    time.sleep(seconds)
    before = context.scene.stand_ins.total(server)
    if not hasattr(context, 'load'):
        keep_sending_elsewhere(context, server)
    time.sleep(1)
    after = context.scene.stand_ins.total(server)
    assert after == before, f'{after - before} more'


def keep_sending_elsewhere(context, server: str) -> None:
    context.load = Load(context.scene)
    context.add_cleanup(context.load.stop)
    names = context.scene.stand_ins.names()
    total = context.scene.stand_ins.total
    others = [name for name in names if name != server]
    base = {name: total(name) for name in others}
    eventually(lambda: all(total(name) > base[name] + 4 for name in others))


@then('the side of {server} starts no new requests after {seconds:g} s')
def then_starts_none(context, server: str, seconds: float):
    time.sleep(seconds)
    name = f'side-{server}'
    before = _count_starts(context, name)
    assert before, 'the side has started no request'
    time.sleep(1)
    assert _count_starts(context, name) == before
    assert context.scene.load(server)['limit'] == 0


def _count_starts(context, name: str) -> int:
    log = context.fleet.processes[name].log_path.read_text()
    return log.count('side: start ')


@then('the long streams are complete')
def then_long_complete(context):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome != COMPLETE]
    assert rows and not wrong, describe(wrong)


@then('all callers have complete responses')
def then_all_complete(context):
    rows = context.load.stop()
    wrong = [row for row in rows if row.outcome != COMPLETE]
    assert rows and not wrong, describe(wrong)


@then('each response is consistent with the executions')
def then_consistent(context):
    rows = context.load.stop()
    counts = context.scene.stand_ins.all_started()
    for row in rows:
        assert row.outcome in {COMPLETE, *_TRUE_FAILURES}, row
        assert row.outcome != REFUSED, row
        assert not (row.not_run and counts[row.marker]), row


@then('no slot of {server} is lost')
def then_none_lost_at(context, server: str):
    if hasattr(context, 'load'):
        context.load.stop()
    check_slots(context.scene, server)
