"""Steps about servers and processes that leave."""

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
    Told,
    ask_plain,
    ask_stream,
    show,
)
from support.fleet import eventually
from support.scene import Scene
from support.slots import check_slots
from support.standard import ENTRIES, MODEL

_LONG_TOKENS = 700
_TOKENS = 30
_LATE_MARKER = 'late'
_CALLERS = 10
_MOVES = 20
_TRUE_FAILURES = frozenset(
    ('server_failed', 'outcome_unknown', 'answer_cut', TRUNCATED)
)


class Load:
    """Callers that ask again and again until they are told to stop."""

    def __init__(self, scene: Scene) -> None:
        """Start them."""
        self._scene = scene
        self._over = threading.Event()
        self._futures = [
            scene.caller_pool.run(self._ask_on, number)
            for number in range(_CALLERS)
        ]

    def stop(self) -> list[Told]:
        """Let them finish.

        :return: what each request was told at last.
        """
        self._over.set()
        return [row for future in self._futures for row in future.result()]

    def _ask_on(self, caller: int) -> list[Told]:
        ask = ask_stream if caller % 2 else ask_plain
        entries = cycle(ENTRIES if caller % 4 < 2 else reversed(ENTRIES))
        told: list[Told] = []
        while not self._over.is_set():
            marker = f'load-{caller}-{len(told)}'
            told.append(self._moving(ask, entries, marker))
        return told

    def _moving(self, ask, entries, marker: str) -> Told:
        # As a balancer moves callers on: only what has surely not run.
        for _ in range(_MOVES):
            url = self._scene.fleet.url(next(entries))
            told = ask(self._scene.caller, url, marker, _TOKENS)
            if not told.not_run:
                break
            time.sleep(0.05)
        return told


@when('a long stream runs at each engine')
def when_long(context):
    scene = context.scene
    url = scene.fleet.url(ENTRIES[0])
    names = scene.stand_ins.names()
    markers = [f'whole-{number}' for number in range(2 * scene.plan.slots)]
    for marker in markers:
        scene.caller_pool.send(
            ask_stream, scene.caller, url, marker, _LONG_TOKENS
        )
    eventually(lambda: all(scene.load(name)['running'] for name in names))
    # One that is not taken yet would be refused by an entry that ends.
    started = scene.stand_ins.started
    eventually(lambda: all(map(started, markers)))


@when('{count:d} long streams run through {entry:S}')
def when_long_through(context, count: int, entry: str):
    scene = context.scene
    url = scene.fleet.url(entry)
    markers = [f'drained-{number}' for number in range(count)]
    for marker in markers:
        scene.caller_pool.send(
            ask_stream, scene.caller, url, marker, _LONG_TOKENS
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


@when('callers keep asking through both entries')
def when_keep_asking(context):
    context.load = Load(context.scene)
    context.add_cleanup(context.load.stop)
    names = context.scene.stand_ins.names()
    total = context.scene.stand_ins.total
    eventually(lambda: all(total(name) > 4 for name in names))


@when('the side of {server} is asked to end')
def when_side_ends(context, server: str):
    _ask_to_end(context, f'side-{server}')


@when('{entry} is asked to end')
def when_entry_ends(context, entry: str):
    _ask_to_end(context, entry)


@when('{entry} is asked to end twice')
def when_entry_ends_twice(context, entry: str):
    _ask_to_end(context, entry)
    time.sleep(0.5)
    assert context.ending.running, 'the streams still run'
    context.ending.terminate()


def _ask_to_end(context, name: str) -> None:
    context.ending = context.fleet.processes[name]
    context.ending.terminate()


@when('the side of {server} is killed')
def when_leaving_side_killed(context, server: str):
    context.fleet.processes[f'side-{server}'].kill()


@when('{server} is killed')
def when_server_killed(context, server: str):
    context.fleet.processes[server].kill()


@then('the process exits with code {code:d}')
def then_exits(context, code: int):
    found = context.ending.wait()
    assert found == code, (found, context.ending.log_tail())


@when('one more caller asks {entry} {seconds:g} s later')
def when_late_caller(context, entry: str, seconds: float):
    scene = context.scene
    time.sleep(seconds)
    url = scene.fleet.url(entry)
    context.late = ask_stream(scene.caller, url, _LATE_MARKER)


@then('this caller is told {code:S}, and no engine has started its request')
def then_late_not_run(context, code: str):
    assert context.late.outcome == code, context.late
    assert context.late.not_run, context.late
    context.ending.wait()
    assert not context.scene.stand_ins.started(_LATE_MARKER)


@then('the process has ended before its streams would have')
def then_ended_at_once(context):
    context.ending.wait()
    rows = context.scene.caller_pool.results()
    whole = [row for row in rows if row.outcome == COMPLETE]
    assert not whole, show(whole)


@then('no stream that was cut looks complete')
def then_none_complete(context):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome not in {TRUNCATED, BROKEN}]
    assert rows and not wrong, show(wrong)


@then('{server} gets no new work after {seconds:g} s')
def then_no_new_work(context, server: str, seconds: float):
    time.sleep(seconds)
    before = context.scene.stand_ins.total(server)
    if not hasattr(context, 'load'):
        when_keep_asking_elsewhere(context, server)
    time.sleep(1)
    after = context.scene.stand_ins.total(server)
    assert after == before, f'{after - before} more'


def when_keep_asking_elsewhere(context, server: str) -> None:
    context.load = Load(context.scene)
    context.add_cleanup(context.load.stop)
    names = context.scene.stand_ins.names()
    total = context.scene.stand_ins.total
    others = [name for name in names if name != server]
    base = {name: total(name) for name in others}
    eventually(lambda: all(total(name) > base[name] + 4 for name in others))


@then('the side of {server} starts no new work after {seconds:g} s')
def then_starts_none(context, server: str, seconds: float):
    time.sleep(seconds)
    name = f'side-{server}'
    before = _starts(context, name)
    assert before, 'the side has started nothing at all'
    time.sleep(1)
    assert _starts(context, name) == before
    assert context.scene.load(server)['limit'] == 0


def _starts(context, name: str) -> int:
    log = context.fleet.processes[name].log_path.read_text()
    return log.count('side: start ')


@then('the long streams are whole')
def then_long_whole(context):
    rows = context.scene.caller_pool.results()
    wrong = [row for row in rows if row.outcome != COMPLETE]
    assert rows and not wrong, show(wrong)


@then('all callers have whole answers')
def then_all_whole(context):
    rows = context.load.stop()
    wrong = [row for row in rows if row.outcome != COMPLETE]
    assert rows and not wrong, show(wrong)


@then('each caller was told the truth')
def then_truth(context):
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
