"""Steps that hold the answers against the executions."""

from __future__ import annotations

import time
from functools import partial
from itertools import cycle

from behave import given, step, then, when
from failure_steps import start_scene

from sardinetrack.standin.relay import Direction
from support.crowd import COMPLETE, post_service, show
from support.fleet import eventually
from support.scene import Plan, Scene
from support.standard import ENTRIES, SERVICE
from support.wires import Wire

_SIDE = 'side-chart-0'
_SERVER = 'chart-0'
_ARRIVAL_SECONDS = 0.2
_SLOW = 'delay_seconds=4'
_PAUSE_SECONDS = 0.3
_LATER_SECONDS = 10.0


@given('a failing service behind wires')
def given_wired(context):
    _start(context, {})


@given('a failing service behind wires and callers that wait {seconds:g} s')
def given_wired_impatient(context, seconds: float):
    _start(context, {'bounds': {'wait_seconds': seconds}})


def _start(context, entry) -> None:
    plan = Plan(
        services=1, sides_proxied=True, backends_proxied=True, entry=entry
    )
    start_scene(context, plan)
    context.posts = []


@when('the wire to {server} is cut')
def when_cut(context, server: str):
    _wire(context, server).cut()
    if server == 'the side' and not context.posts:
        for entry in ENTRIES:
            eventually(partial(_unused, context.scene, entry))


def _unused(scene: Scene, entry: str) -> bool:
    return not scene.used_servers(entry)


@when('the wire to {server} is restored')
def when_restored(context, server: str):
    wire = _wire(context, server)
    wire.thaw()
    wire.restore()
    _wait_used(context.scene)


@when('the wire to the side is cut and restored')
def when_cut_restored(context):
    _renew(_wire(context, 'the side'))
    _wait_used(context.scene)


@when('the wire to the side breaks for a moment')
def when_blinks(context):
    wire = _wire(context, 'the side')
    wire.cut()
    wire.restore()


@when('the wire to the side freezes')
def when_freezes(context):
    _wire(context, 'the side').freeze()


@when('the wire to the side loses what goes to it')
def when_loses_orders(context):
    _wire(context, 'the side').drop(Direction.TO_TARGET)


@when('the wire to the side loses what comes from it')
def when_loses_answers(context):
    _wire(context, 'the side').drop(Direction.TO_CALLER)


@when('after {seconds:g} s the wire breaks towards the entries and flows again')
def when_strands(context, seconds: float):
    time.sleep(seconds)
    _wire(context, 'the side').reset_callers()


@when('the stuck orders arrive at the side')
def when_delivered(context):
    # A side that has no configuration yet would refuse them for that alone.
    _wait_used(context.scene)
    _wire(context, 'the side').release_withheld()


@when('a bill is posted through both entries')
def when_posted(context):
    _post(context, '')
    # Let the orders leave: the wire holds or loses them from here on.
    time.sleep(_ARRIVAL_SECONDS)


@when('a slow bill is posted through both entries and runs')
def when_posted_slow(context):
    _post(context, _SLOW)
    total = context.scene.stand_ins.total
    eventually(lambda: total(_SERVER) == len(ENTRIES))


def _post(context, query: str) -> None:
    scene = context.scene
    for entry in ENTRIES:
        marker = f'bill-{len(context.posts)}'
        url = scene.fleet.url(entry)
        context.posts.append(
            scene.caller_pool.send(
                post_service, scene.caller, url, marker, query
            ),
        )


@step('the posts are told as {outcome}')
def then_told(context, outcome: str):
    rows = [future.result() for future in context.posts]
    wrong = [row for row in rows if row.outcome != outcome]
    assert not wrong, show(wrong)


@then('all answers are true, also 10 s later')
def then_true(context):
    rows = context.scene.caller_pool.results()
    _check(context.scene, rows)
    time.sleep(_LATER_SECONDS)
    _check(context.scene, rows)


def _check(scene: Scene, rows) -> None:
    counts = scene.stand_ins.all_started()
    false = [row for row in rows if row.not_run and counts[row.marker]]
    assert not false, f'told "not run": {show(false)}'
    twice = [row for row in rows if counts[row.marker] > 1]
    assert not twice, f'ran twice: {show(twice)}'
    lost = [
        row
        for row in rows
        if row.outcome == COMPLETE and not counts[row.marker]
    ]
    assert not lost, f'never ran: {show(lost)}'


@then('the service ran none of the posts')
def then_none_ran(context):
    counts = context.scene.stand_ins.all_started()
    assert not counts, counts


@when('the side is paused')
def when_paused(context):
    context.fleet.processes[_SIDE].freeze()


@when('the side goes on')
def when_goes_on(context):
    context.fleet.processes[_SIDE].thaw()
    _wait_used(context.scene)


@when('after {seconds:g} s the side goes on')
def when_goes_on_soon(context, seconds: float):
    time.sleep(seconds)
    context.fleet.processes[_SIDE].thaw()


@when('the side is killed and started anew at its address')
def when_restarted(context):
    scene = context.scene
    old = scene.fleet.processes[_SIDE]
    old.kill()
    ip, _, port = old.ready['peer_address'].rpartition(':')
    scene.restart_side(SERVICE, _SERVER, peer={'ip': ip, 'port': int(port)})


@when('{count:d} bills are posted while the wire and the side fail in turn')
def when_storm(context, count: int):
    scene = context.scene
    urls = cycle(scene.entry_urls())
    for number in range(count):
        scene.caller_pool.send(
            post_service,
            scene.caller,
            next(urls),
            f'storm-{number}',
            'delay_seconds=0.05',
        )
    wire = _wire(context, 'the side')
    side = scene.fleet.processes[_SIDE]
    turns = (
        (wire.cut, wire.restore),
        (wire.freeze, wire.thaw),
        (wire.freeze, wire.reset_callers),
        (partial(wire.drop, Direction.TO_TARGET), partial(_renew, wire)),
        (partial(wire.drop, Direction.TO_CALLER), partial(_renew, wire)),
        (side.freeze, side.thaw),
        (wire.freeze, wire.reset_callers),
        (wire.release_withheld, wire.release_withheld),
    )
    for fail, mend in turns:
        fail()
        time.sleep(_PAUSE_SECONDS)
        mend()
        time.sleep(_PAUSE_SECONDS)
    _wait_used(scene)


def _renew(wire: Wire) -> None:
    # TCP repeats what is lost: a connection that has lost bytes for good is
    # broken and can't flow again.
    wire.stop_dropping()
    wire.cut()
    wire.restore()


def _wait_used(scene: Scene) -> None:
    for entry in ENTRIES:
        scene.wait_in_use(entry, 1)


def _wire(context, server: str):
    names = {'the side': _SIDE, 'the service': _SERVER}
    return context.scene.proxies[names[server]]
