"""Steps that compare the responses with the executions."""

from __future__ import annotations

import time
from functools import partial
from itertools import cycle

from behave import given, step, then, when
from failure_steps import start_scene

from sardinetrack.standin.tcp_proxy import Direction
from support.crowd import COMPLETE, describe, post_service
from support.fleet import eventually
from support.scene import Plan, Scene
from support.standard import ENTRIES, SERVICE
from support.wires import Proxy

_SIDE = 'side-chart-0'
_SERVER = 'chart-0'
_SENT_SECONDS = 0.2
_SLOW_QUERY = 'delay_seconds=4'
_PAUSE_SECONDS = 0.3
_LATER_SECONDS = 10.0


@given('a service behind TCP proxies')
def given_proxied(context):
    _start(context, {})


@given('a service behind TCP proxies, and a maximum wait of {seconds:g} s')
def given_proxied_with_wait(context, seconds: float):
    _start(context, {'bounds': {'wait_seconds': seconds}})


def _start(context, entry) -> None:
    plan = Plan(
        services=1, sides_proxied=True, backends_proxied=True, entry=entry
    )
    start_scene(context, plan)
    context.posts = []


@when('the network path to {server} is cut')
def when_cut(context, server: str):
    _proxy(context, server).cut()
    if server == 'the side' and not context.posts:
        for entry in ENTRIES:
            eventually(partial(_unused, context.scene, entry))


def _unused(scene: Scene, entry: str) -> bool:
    return not scene.used_servers(entry)


@when('the network path to {server} is restored')
def when_restored(context, server: str):
    proxy = _proxy(context, server)
    proxy.thaw()
    proxy.restore()
    _wait_in_use(context.scene)


@when('the network path to the side is cut and restored')
def when_cut_restored(context):
    _drop_connections(_proxy(context, 'the side'))
    _wait_in_use(context.scene)


@when('the network path to the side is interrupted for a moment')
def when_interrupted(context):
    proxy = _proxy(context, 'the side')
    proxy.cut()
    proxy.restore()


@when('the network path to the side freezes')
def when_freezes(context):
    _proxy(context, 'the side').freeze()


@when('the network path to the side drops bytes towards the side')
def when_drops_requests(context):
    _proxy(context, 'the side').drop(Direction.TO_TARGET)


@when('the network path to the side drops bytes from the side')
def when_drops_responses(context):
    _proxy(context, 'the side').drop(Direction.TO_CALLER)


@when(
    'after {seconds:g} s the entries lose their connections '
    'and can connect again'
)
def when_callers_reset(context, seconds: float):
    time.sleep(seconds)
    _proxy(context, 'the side').reset_callers()


@when('the withheld run requests arrive at the side')
def when_released(context):
    # A side without a configuration would refuse them for that alone.
    _wait_in_use(context.scene)
    _proxy(context, 'the side').release_withheld()


@when('a bill is posted through both entries')
def when_posted(context):
    _post(context, '')
    # Time for the entries to send the run requests, which the proxy then
    # withholds or drops.
    time.sleep(_SENT_SECONDS)


@when('a slow bill is posted through both entries and runs')
def when_posted_slow(context):
    _post(context, _SLOW_QUERY)
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


@step('the outcome of each post is {outcome}')
def then_outcome(context, outcome: str):
    rows = [future.result() for future in context.posts]
    wrong = [row for row in rows if row.outcome != outcome]
    assert not wrong, describe(wrong)


@then('all responses are consistent with the executions, also 10 s later')
def then_consistent(context):
    rows = context.scene.caller_pool.results()
    _check(context.scene, rows)
    time.sleep(_LATER_SECONDS)
    _check(context.scene, rows)


def _check(scene: Scene, rows) -> None:
    counts = scene.stand_ins.all_started()
    false = [row for row in rows if row.not_run and counts[row.marker]]
    assert not false, f'ran in spite of "not run": {describe(false)}'
    twice = [row for row in rows if counts[row.marker] > 1]
    assert not twice, f'ran twice: {describe(twice)}'
    lost = [
        row
        for row in rows
        if row.outcome == COMPLETE and not counts[row.marker]
    ]
    assert not lost, f'never ran: {describe(lost)}'


@then('the service ran none of the posts')
def then_none_ran(context):
    counts = context.scene.stand_ins.all_started()
    assert not counts, counts


@when('the side is suspended')
def when_suspended(context):
    context.fleet.processes[_SIDE].freeze()


@when('the side is resumed')
def when_resumed(context):
    context.fleet.processes[_SIDE].thaw()
    _wait_in_use(context.scene)


@when('after {seconds:g} s the side is resumed')
def when_resumed_soon(context, seconds: float):
    time.sleep(seconds)
    context.fleet.processes[_SIDE].thaw()


@when('the side is killed and started again at its address')
def when_restarted(context):
    scene = context.scene
    old = scene.fleet.processes[_SIDE]
    old.kill()
    ip, _, port = old.ready['peer_address'].rpartition(':')
    scene.restart_side(SERVICE, _SERVER, peer={'ip': ip, 'port': int(port)})


@when(
    '{count:d} bills are posted '
    'while the network path and the side fail in turn'
)
def when_failing_in_turn(context, count: int):
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
    proxy = _proxy(context, 'the side')
    side = scene.fleet.processes[_SIDE]
    faults = (
        (proxy.cut, proxy.restore),
        (proxy.freeze, proxy.thaw),
        (proxy.freeze, proxy.reset_callers),
        (
            partial(proxy.drop, Direction.TO_TARGET),
            partial(_drop_connections, proxy),
        ),
        (
            partial(proxy.drop, Direction.TO_CALLER),
            partial(_drop_connections, proxy),
        ),
        (side.freeze, side.thaw),
        (proxy.freeze, proxy.reset_callers),
        (proxy.release_withheld, proxy.release_withheld),
    )
    for fail, recover in faults:
        fail()
        time.sleep(_PAUSE_SECONDS)
        recover()
        time.sleep(_PAUSE_SECONDS)
    _wait_in_use(scene)


def _drop_connections(proxy: Proxy) -> None:
    # TCP retransmits lost bytes: a connection that has lost bytes permanently
    # is broken and can't be used again.
    proxy.stop_dropping()
    proxy.cut()
    proxy.restore()


def _wait_in_use(scene: Scene) -> None:
    for entry in ENTRIES:
        scene.wait_in_use(entry, 1)


def _proxy(context, server: str):
    names = {'the side': _SIDE, 'the service': _SERVER}
    return context.scene.proxies[names[server]]
