"""Steps for the routing decisions of one entry."""

from __future__ import annotations

from random import Random

from behave import given, step, then, when

from sardinetrack.catalogue.api import (
    Pool,
    PoolClass,
    ServiceClass,
    Workspace,
    WorkspaceLimits,
)
from sardinetrack.messages.api import (
    Bids,
    Decline,
    Grant,
    ServiceReport,
    ServiceRow,
    SideLoad,
    SidePhase,
    Strike,
)
from sardinetrack.routing.api import (
    AttemptOutcome,
    Dispatch,
    Reject,
    RoutedRequest,
    SendToSide,
    SideInfo,
    WaitNotice,
)
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity

POOL = 'ice-llm'
QUEUE_LIMIT = 8


def workspace(name):
    limits = WorkspaceLimits(1.0, 100, 1000.0, QUEUE_LIMIT)
    return Workspace(name, 'owner', ServiceClass.STANDARD, limits, frozenset())


def pool():
    return Pool(
        POOL,
        'owner',
        PoolClass.MODEL,
        8,
        1000,
        60.0,
        (),
        (),
        frozenset(),
        0.1,
    )


def submit(context, name, request):
    work = RoutedRequest(
        request, name, POOL, 5.0, context.now + 60, True, 'print'
    )
    context.effects.extend(context.router.submit(context.now, work))


def attempts(context, request):
    return [
        effect
        for effect in context.effects
        if isinstance(effect, Dispatch) and effect.request_id == request
    ]


@given('an entry with a side of 1 free slot')
def start_entry(context):
    context.now = 0
    context.effects = []
    context.router = Router(ProcessIdentity('a', 'first'), Random(1))
    names = [workspace('pilot'), workspace('agency')]
    context.router.configure(0, names, [pool()])
    info = SideInfo('s1', POOL, 'engine1', 'galata', '127.0.0.1:1')
    context.router.side_connected(0, info)
    load = SideLoad('first', SidePhase.SERVING, 1, 0, 1)
    context.router.update_side_load(0, 's1', load)


@step('{name} submits {request} of cost {cost:g}')
def submit_work(context, name, request, cost):
    work = RoutedRequest(
        request, name, POOL, cost, context.now + 60, True, 'print'
    )
    context.effects.extend(context.router.submit(context.now, work))


@given('{name} fills its queue')
def fill_queue(context, name):
    for number in range(QUEUE_LIMIT):
        submit(context, name, f'fill{number}')


@given('a peer reports a strike against {fingerprint} at server {server}')
def report_strike(context, fingerprint, server):
    context.router.apply_strike(context.now, Strike(fingerprint, server, 60.0))


@when('the side loses its slots')
def lose_slots(context):
    load = SideLoad('first', SidePhase.SERVING, 0, 0, 0)
    context.effects.extend(
        context.router.update_side_load(context.now, 's1', load)
    )
    context.effects.extend(context.router.tick(context.now))


@when('the side grants {number:d}')
def grant(context, number):
    context.effects.extend(
        context.router.grant(context.now, 's1', Grant(number, 1.0)),
    )


def end(context, request, how):
    attempt = attempts(context, request)[-1]
    context.effects.extend(
        context.router.settle_attempt(
            context.now,
            attempt.attempt_id,
            how,
            cost=0,
            answered=False,
        ),
    )


@when('the side refuses {request}')
def refuse(context, request):
    end(context, request, AttemptOutcome.NOT_STARTED)


@when('the server fails while it runs {request}')
def fail(context, request):
    end(context, request, AttemptOutcome.FAILED)


@when('{seconds:g} seconds pass at the entry')
def pass_time(context, seconds):
    context.now += seconds
    context.effects.extend(context.router.tick(context.now))


@then('{request} is dispatched')
def check_dispatched(context, request):
    assert len(attempts(context, request)) == 1, context.effects


@then('{request} is dispatched {count:d} times')
def check_dispatched_times(context, request, count):
    assert len(attempts(context, request)) == count, context.effects


@then('{request} is still queued')
def check_waits(context, request):
    assert not attempts(context, request), context.effects


@then('the side receives a bid of {name}')
def check_bid(context, name):
    rows = [
        row.workspace
        for effect in context.effects
        if isinstance(effect, SendToSide) and isinstance(effect.message, Bids)
        for row in effect.message.rows
    ]
    assert name in rows, context.effects


@then('grant {number:d} is declined')
def check_declined(context, number):
    decline = SendToSide('s1', Decline(number))
    assert decline in context.effects, context.effects


@then('{request} is rejected as {kind}')
def check_rejected(context, request, kind):
    kinds = [
        effect.kind.value
        for effect in context.effects
        if isinstance(effect, Reject) and effect.request_id == request
    ]
    assert kinds == [kind], context.effects


@when('the side reports {count:d} free slot')
def report_load(context, count):
    load = SideLoad('first', SidePhase.SERVING, 1, 0, count)
    context.effects.extend(
        context.router.update_side_load(context.now, 's1', load)
    )


@given('a peer reports {name} with {running:d} running and {waiting:d} waiting')
def report_peer(context, name, running, waiting):
    row = ServiceRow(name, 0, running, waiting)
    report = ServiceReport('b', 'first', POOL, (row,))
    context.router.apply_service_report(context.now, report)


@then('{count:d} requests of {name} are dispatched')
def check_count(context, count, name):
    found = sum(
        isinstance(effect, Dispatch) and effect.request_id.startswith('fill')
        for effect in context.effects
    )
    assert found == count, found


@given('sides {names} without slots')
def empty_sides(context, names):
    load = SideLoad('first', SidePhase.SERVING, 0, 0, 0)
    for name in names.split(' and '):
        info = SideInfo(name, POOL, f'engine-{name}', 'galata', '127.0.0.1:2')
        context.router.side_connected(0, info)
        context.router.update_side_load(0, name, load)


@then('no side without slots receives a bid')
def check_no_bids(context):
    receivers = [
        one.side for one in context.effects if isinstance(one, SendToSide)
    ]
    assert set(receivers) == {'s1'}, receivers


@then(
    'a new peer receives the strikes against {fingerprint} at servers {servers}'
)
def check_strikes(context, fingerprint, servers):
    expected = [
        Strike(fingerprint, server, 60.0 - context.now, number)
        for number, server in enumerate(servers.split(' and '), start=1)
    ]
    assert context.router.peer_linked(context.now, 'new') == expected


@then('one notice reports that {request} waits because of {reason}')
def check_notice(context, request, reason):
    reasons = [
        effect.reason.value
        for effect in context.effects
        if isinstance(effect, WaitNotice) and effect.request_id == request
    ]
    assert reasons == [reason], reasons
