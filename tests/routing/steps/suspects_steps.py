"""Steps for requests that were running at a crash."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from crash_simulation import CrashSimulation
from router_steps import POOL, attempts, end, pool, workspace

from sardinetrack.errors.api import ErrorKind
from sardinetrack.messages.api import (
    Bids,
    Grant,
    SideLoad,
    SidePhase,
    Strike,
)
from sardinetrack.routing.api import (
    AttemptOutcome,
    Reject,
    RoutedRequest,
    SendToEntries,
    SendToSide,
    SideInfo,
    WaitNotice,
    WaitReason,
)
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity

_SEEDS = 300
_ATTEMPTS = 8


def report_load(context, side, *, limit, free):
    load = SideLoad('first', SidePhase.SERVING, limit, limit - free, free)
    context.effects.extend(
        context.router.update_side_load(context.now, side, load)
    )


def submit(context, request):
    work = RoutedRequest(
        request, 'pilot', POOL, 5, context.now + 60, True, f'print-{request}'
    )
    context.effects.extend(context.router.submit(context.now, work))


def where(context, request):
    return attempts(context, request)[-1].side


@given('an entry with {count:d} sides of 1 free slot')
def start_entry(context, count):
    context.now = 0
    context.effects = []
    context.router = Router(ProcessIdentity('a', 'first'), Random(1))
    context.router.configure(0, [workspace('pilot')], [pool()])
    context.sides = [f's{number}' for number in range(count)]
    for side in context.sides:
        info = SideInfo(side, POOL, f'engine-{side}', 'galata', '127.0.0.1:1')
        context.router.side_connected(0, info)
        report_load(context, side, limit=1, free=1)


@given("pilot's p1 runs at one of them")
def run_first(context):
    submit(context, 'p1')
    context.struck = where(context, 'p1')
    context.other = next(
        side for side in context.sides if side != context.struck
    )


@given('another server has crashed')
def other_crashes(context):
    report_load(context, context.other, limit=0, free=0)


@given('the other side is full')
def fill_other(context):
    report_load(context, context.other, limit=1, free=0)


@given('the entries b and c are linked')
def link_entries(context):
    for entry in 'bc':
        assert not context.router.peer_linked(context.now, entry)


@when('servers crash while they run p1 at one side and then at the other')
def both_crash(context):
    submit(context, 'p1')
    for _ in context.sides:
        report_load(context, where(context, 'p1'), limit=0, free=0)
        end(context, 'p1', AttemptOutcome.FAILED)
    rejection = only_reject(context)
    context.effects.remove(rejection)
    context.effects.extend(
        context.router.deliver_rejection(context.now, rejection)
    )
    context.numbers = [
        effect.message.number
        for effect in context.effects
        if isinstance(effect, SendToEntries)
    ]
    assert not rejects(context), context.effects


@when('b has acknowledged both strikes, and c the first one')
def first_acknowledged(context):
    acknowledge(context, 'b', context.numbers[1])
    acknowledge(context, 'c', context.numbers[0])


@when('c has acknowledged the second strike')
def second_acknowledged(context):
    acknowledge(context, 'c', context.numbers[1])


@when('the link to c breaks and comes back')
def link_reconnects(context):
    context.effects.extend(context.router.peer_lost(context.now, 'c'))
    received = context.router.peer_linked(context.now, 'c')
    context.received = [strike.number for strike in received]
    assert len(received) == 2, received


@when('c has acknowledged all strikes received when it linked')
def all_acknowledged(context):
    acknowledge(context, 'c', max(context.received))


@when('the link to c breaks')
def link_breaks(context):
    context.effects.extend(context.router.peer_lost(context.now, 'c'))


@then('the response to p1 waits for the acknowledgement of c')
def still_delayed(context):
    assert not rejects(context), context.effects
    assert notices(context)[-1].reason is WaitReason.CRASH_NEWS


@then('a notice lists b and c as entries without the strike')
def check_unacknowledged(context):
    last = notices(context)[-1]
    assert last.reason is WaitReason.CRASH_UNKNOWN, last
    assert last.waits_for == ('b', 'c'), last


@then('p1 gets the error {kind} after {count:d} attempts')
def rejected_after(context, kind, count):
    rejection = only_reject(context)
    assert rejection.kind.value == kind, rejection
    assert not rejection.strike, rejection
    assert len(attempts(context, 'p1')) == count, context.effects


@then(
    'at most {limit:d} of 8 servers have crashed, '
    'and the last request is rejected'
)
def at_most_crashed(context, limit):
    for seed in range(_SEEDS):
        simulation = CrashSimulation(Random(seed))
        rejections = [simulation.send().kind for _ in range(_ATTEMPTS)]
        assert len(simulation.crashed) <= limit, (seed, simulation.crashed)
        assert rejections[-1] is ErrorKind.CRASHES_SERVERS, (seed, rejections)


def acknowledge(context, entry, number):
    released = context.router.strike_acknowledged(context.now, entry, number)
    context.effects.extend(released)


def only_reject(context):
    rejections = rejects(context)
    assert len(rejections) == 1, context.effects
    return rejections[0]


def rejects(context):
    return [one for one in context.effects if isinstance(one, Reject)]


def notices(context):
    return [one for one in context.effects if isinstance(one, WaitNotice)]


@when('a peer reports that p1 ran at a crash of server {server}')
@given('a peer has reported that p1 ran at a crash of server {server}')
def peer_strikes(context, server):
    context.router.apply_strike(context.now, Strike('print-p1', server, 60.0))


@when("pilot's p1 runs at one of them and gets a complete response")
def run_completely(context):
    submit(context, 'p1')
    context.now += 0.1
    context.effects.extend(context.router.tick(context.now))
    end(context, 'p1', AttemptOutcome.COMPLETED)


@then(
    'a message that clears the strike of server {server} is sent to all entries'
)
def all_informed(context, server):
    sent = [
        effect.message
        for effect in context.effects
        if isinstance(effect, SendToEntries)
        and isinstance(effect.message, Strike)
    ]
    assert sent == [Strike('print-p1', server, 0)], sent


@when(
    'another entry receives both, and that p1 ran at a crash of server {server}'
)
def peer_clears(context, server):
    context.router = Router(ProcessIdentity('b', 'first'), Random(1))
    context.router.configure(0, [workspace('pilot')], [pool()])
    context.router.apply_strike(context.now, Strike('print-p1', 'one', 60.0))
    context.router.apply_strike(context.now, Strike('print-p1', 'one', 0))
    context.router.apply_strike(context.now, Strike('print-p1', server, 60.0))


@then('p1 is still served')
def still_served(context):
    for side in context.sides:
        info = SideInfo(side, POOL, f'engine-{side}', 'galata', '127.0.0.1:1')
        context.router.side_connected(context.now, info)
        report_load(context, side, limit=1, free=1)
    before = len(attempts(context, 'p1'))
    submit(context, 'p1')
    context.now += 0.1
    context.effects.extend(context.router.tick(context.now))
    assert len(attempts(context, 'p1')) == before + 1, context.effects


@when('its server crashes while it runs p1 and its side loses its slots')
def server_crashes(context):
    report_load(context, context.struck, limit=0, free=0)
    end(context, 'p1', AttemptOutcome.FAILED)


@when('its server fails while it runs p1')
def server_fails(context):
    end(context, 'p1', AttemptOutcome.FAILED)


@when('the other side refuses it')
def other_refuses(context):
    assert where(context, 'p1') == context.other
    end(context, 'p1', AttemptOutcome.NOT_STARTED)


@when('the two sides that p1 is sent to refuse it')
def all_refuse(context):
    refusing = set()
    for _ in range(2):
        refusing.add(where(context, 'p1'))
        end(context, 'p1', AttemptOutcome.NOT_STARTED)
    assert len(refusing) == 2, refusing
    assert context.struck not in refusing, refusing
    context.refusing = sorted(refusing)


@when('a second passes, and one of these grants a slot')
def later_grant(context):
    context.now += 1
    context.effects.extend(context.router.tick(context.now))
    context.other = context.refusing[0]
    context.effects.extend(
        context.router.grant(context.now, context.other, Grant(1, 1)),
    )


@when('the side at which p1 failed reports 1 free slot')
def failed_reports(context):
    report_load(context, context.struck, limit=1, free=1)


@when('the side at which p1 failed reports 2 free slots, the other one 1')
def both_report(context):
    report_load(context, context.struck, limit=2, free=2)
    report_load(context, context.other, limit=1, free=1)


@then('p1 runs there')
def runs_there(context):
    assert where(context, 'p1') == context.other, context.effects
    assert attempts(context, 'p1')[-1].grant == 1, context.effects


@then('the other side receives another bid for p1 in this time')
def receives_bids(context):
    received = [
        effect.side
        for effect in context.effects
        if isinstance(effect, SendToSide)
        and isinstance(effect.message, Bids)
        and any(row.waiting for row in effect.message.rows)
    ]
    assert received.count(context.other) > 1, context.effects


@then('p2 runs there')
def second_runs(context):
    assert [one.side for one in attempts(context, 'p2')] == [context.struck]


@then('p1 is still queued for the other side')
def first_waits(context):
    assert len(attempts(context, 'p1')) == 1, context.effects


@then('p1 runs at the other side')
def first_elsewhere(context):
    assert [one.side for one in attempts(context, 'p1')] == [
        context.struck,
        context.other,
    ]
