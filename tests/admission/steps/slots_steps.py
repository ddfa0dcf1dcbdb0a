"""Steps for one side's admission."""

from __future__ import annotations

from behave import given, step, then, when

from sardinetrack.admission.api import (
    Arrival,
    BroadcastLoad,
    RefusalReason,
    RefuseRequest,
    SendGrant,
    StartRequest,
)
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.messages.api import BidRow, Bids


@given('a side with {count:d} slot')
@given('a side with {count:d} slots')
def start_side(context, count):
    context.now = 0
    context.side = SlotAdmission('first', count)
    context.effects = []


@step('entry {entry} sends attempt {attempt} with tag {tag:g}')
def send_attempt(context, entry, attempt, tag):
    arrival = Arrival(attempt, entry, 'pilot', tag, 1.0, 0, 0)
    context.effects.extend(context.side.arrive(context.now, arrival))


@step('entry {entry} sends the suspect attempt {attempt}')
def send_suspect(context, entry, attempt):
    arrival = Arrival(
        attempt,
        entry,
        'pilot',
        0,
        1,
        0,
        0,
        suspect=True,
    )
    context.effects.extend(context.side.arrive(context.now, arrival))


@step('entry {entry} bids {workspace} {count:d} times at tag {tag:g}')
def bid(context, entry, workspace, count, tag):
    bids = Bids('ice-llm', 0, (BidRow(workspace, tag, count, 1.0),))
    context.effects.extend(context.side.update_bids(context.now, entry, bids))


@when('{attempt} finishes')
def finish(context, attempt):
    context.effects.extend(
        context.side.finished(context.now, attempt, is_complete=True, cost=1.0),
    )


@when('{seconds:g} seconds pass')
def pass_time(context, seconds):
    context.now += seconds
    context.effects.extend(context.side.tick(context.now))


@when('the side drains')
def drain(context):
    context.effects.extend(context.side.drain(context.now))


@then('{attempt} is started')
def check_started(context, attempt):
    assert StartRequest(attempt) in context.effects, context.effects


@then('{attempt} is refused as {reason}')
def check_refused(context, attempt, reason):
    refusal = RefuseRequest(attempt, RefusalReason(reason))
    assert refusal in context.effects, context.effects


@step('entry {entry} has grant {number:d}')
def check_grant(context, entry, number):
    grants = [
        (effect.entry, effect.grant.number)
        for effect in context.effects
        if isinstance(effect, SendGrant)
    ]
    assert (entry, number) in grants, context.effects


@step('the status of {attempt} is {status}')
def check_status(context, attempt, status):
    found, effects = context.side.resolve_status(
        context.now, attempt, cancel=False
    )
    context.effects.extend(effects)
    assert found == status, found


@step('entry {entry} sends attempt {attempt} with grant {grant:d}')
def send_granted(context, entry, attempt, grant):
    arrival = Arrival(attempt, entry, 'pilot', 0, 1, grant, 5)
    context.effects.extend(context.side.arrive(context.now, arrival))


@when("the server's rest begins")
def begin_rest(context):
    context.effects = list(context.side.begin_rest(context.now))


@when("the server's rest ends")
def end_rest(context):
    context.effects = list(context.side.end_rest(context.now))


@then('no grant is sent')
def check_no_grant(context):
    grants = [one for one in context.effects if isinstance(one, SendGrant)]
    assert not grants, grants


@then('the side offers {free:d} of {limit:d} slots')
def check_offer(context, free, limit):
    load = context.side.load()
    assert (load.free, load.limit) == (free, limit), load


@step("the server's slots change to {count:d}")
def resize(context, count):
    context.effects = list(context.side.resize(context.now, count))


@then('the load is announced immediately')
def announced(context):
    assert BroadcastLoad() in context.effects, context.effects
