"""Steps for turns at an engine."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise
from math import isclose

from behave import given, step, then, when
from engine import Engine

from sardinetrack.admission.pace import FIRST_RATE_TOKENS
from sardinetrack.admission.usage import EngineUse


@given('an engine of {slots:d} slot')
@given('an engine of {slots:d} slots')
def open_engine(context, slots):
    context.engine = Engine(slots)


@step('workspace {workspace} asks for {tokens:d} tokens')
def ask_one(context, workspace, tokens):
    context.engine.ask(workspace, tokens)


@step('a guest with {seconds:g} seconds of patience asks for {tokens:d} tokens')
def ask_guest(context, seconds, tokens):
    context.engine.ask('guest', tokens, patience_seconds=seconds)


@step(
    'a guest of {workspace} with {seconds:g} seconds of patience asks'
    ' for {tokens:d} tokens',
)
def ask_guest_of(context, workspace, seconds, tokens):
    context.engine.ask(workspace, tokens, patience_seconds=seconds)


@step('workspace {workspace} asks {count:d} times for {tokens:d} tokens')
def ask_often(context, workspace, count, tokens):
    for _ in range(count):
        context.engine.ask(workspace, tokens)


@step(
    'with {served:d} tokens served elsewhere {workspace}'
    ' asks {count:d} times for {tokens:d} tokens',
)
def ask_served(context, served, workspace, count, tokens):
    for _ in range(count):
        context.engine.ask(
            workspace,
            tokens,
            entry='e',
            served_tokens=served,
            patience_seconds=2,
        )


@step(
    'workspace {workspace} asks {count:d} times for {tokens:d} tokens'
    ' and {answer:d} answer tokens',
)
def ask_long(context, workspace, count, tokens, answer):
    for _ in range(count):
        context.engine.ask(workspace, tokens, kept_tokens=tokens + answer)


@when('{count:d} answers have each held a slot for {seconds:g} seconds')
def hold_slots(context, count, seconds):
    engine = context.engine
    first = len(engine.granted)
    for _ in range(count):
        engine.ask('before', 100)
    while engine.unread:
        engine.read_one()
    engine.now += seconds
    for name in engine.granted[first:]:
        engine.take(engine.admission.ended(engine.now, name))


@then('it tells a wait of about {seconds:g} seconds')
def tells_wait(context, seconds):
    told = context.engine.admission.wait_seconds(context.engine.now)
    assert 0.9 * seconds < told < 1.1 * seconds, told


@when('the engine has read one prompt')
def read_one(context):
    context.before = list(context.engine.granted)
    context.engine.read_one()


@when('the engine reads prompts for {seconds:d} second')
def read_for(context, seconds):
    engine = context.engine
    ends = engine.now + seconds
    while engine.unread and engine.now < ends:
        engine.read_one()


@when('{seconds:g} seconds pass at the engine')
def wait(context, seconds):
    engine = context.engine
    engine.now += seconds
    engine.take(engine.admission.tick(engine.now))


@when('the request of {workspace} ends')
def end_request(context, workspace):
    engine = context.engine
    engine.take(engine.admission.ended(engine.now, f'{workspace}.0'))


@when('its prompts take five times as long for a while')
def slow_down(context):
    engine = context.engine
    for _ in range(300):
        engine.ask('probe', 2000)
        engine.run_one(FIRST_RATE_TOKENS / 5)


@when(
    '{count:d} workspaces ask at random for {seconds:d} seconds'
    ' with seed {seed:d}'
)
def ask_at_random(context, count, seconds, seed):
    engine = context.engine
    draw = random.Random(seed)
    names = [f'w{number}' for number in range(count)]
    while engine.now < seconds:
        draw.shuffle(names)
        for workspace in names:
            if draw.randrange(5):
                engine.ask(workspace, draw.randint(200, 6000))
        if engine.unread:
            engine.run_one()
        else:
            engine.now += 0.05
    engine.now += 10
    engine.take(engine.admission.tick(engine.now))


@then('{workspace} is granted {count:d} turn')
@then('{workspace} is granted {count:d} turns')
def is_granted(context, workspace, count):
    engine = context.engine
    got = engine.count(engine.granted, workspace)
    assert got == count, got


@then('{workspace} is granted fewer turns')
def is_granted_fewer(context, workspace):
    engine = context.engine
    assert engine.count(engine.granted, workspace) < 6, engine.granted


@then('some of {workspace} are refused at once')
def some_refused(context, workspace):
    engine = context.engine
    assert engine.count(engine.refused, workspace) > 0
    waits = [one.waited_seconds for one in engine.refused.values()]
    assert not any(waits)


@then('they are told to come back after the queue has drained')
def told_when(context):
    engine = context.engine
    for refused in engine.refused.values():
        drain_seconds = refused.ahead_tokens / engine.admission.rate_tokens
        told_seconds = refused.retry_after_seconds
        assert isclose(told_seconds, drain_seconds, abs_tol=0.1)


@then('{workspace} is not refused')
def not_refused(context, workspace):
    assert not context.engine.count(context.engine.refused, workspace)


@then('{count:d} of {workspace} are refused')
def are_refused(context, count, workspace):
    got = context.engine.count(context.engine.refused, workspace)
    assert got == count, got


@then('its wait is told five times as long')
def told_slow(context):
    rate = context.engine.admission.rate_tokens
    expected = FIRST_RATE_TOKENS / 5
    assert isclose(rate, expected, rel_tol=0.1), rate


@then('every ask had one verdict')
def one_verdict(context):
    engine = context.engine
    assert len(engine.granted) + len(engine.refused) == len(engine.asks)


@then('workspaces that waited all along were served alike')
def served_alike(context):
    engine = context.engine
    served = Counter()
    for name in engine.granted:
        served[name.split('.')[0]] += engine.asks[name].cost
    most, least = max(served.values()), min(served.values())
    # The past fades by half every 4 s, so a difference of a largest request
    # (6,100 tokens) may come anew in each of the seven spans of a run.
    assert most - least < 7 * 6100, served


@step(
    'workspace {workspace} asks for {tokens:d} tokens, '
    'due in {seconds:g} seconds',
)
def ask_due(context, workspace, tokens, seconds):
    context.engine.ask(
        workspace,
        tokens,
        patience_seconds=seconds,
        due_seconds=seconds,
    )


@then(
    'its usage tells of {count:d} turns, '
    'of reading with and without others waiting',
)
def tells_usage(context, count):
    engine = context.engine
    usage = engine.admission.usage
    assert usage.granted == count, usage
    assert usage.seconds[EngineUse.FULL] > 0, usage
    assert usage.seconds[EngineUse.READING] > 0, usage


@step('workspace {workspace} asks for {tokens:d} tokens that stay')
def ask_staying(context, workspace, tokens):
    context.engine.ask(workspace, tokens, kept_tokens=tokens)
    while context.engine.unread:
        context.engine.run_one()


@then('it keeps a part for longer than {seconds:g} seconds')
def keeps_long(context, seconds):
    engine = context.engine
    assert engine.admission.hold_seconds(engine.now) > seconds


@then('it keeps a part for less than {seconds:g} seconds')
def keeps_short(context, seconds):
    engine = context.engine
    assert engine.admission.hold_seconds(engine.now) < seconds


def _flood(engine, workspaces, seconds):
    """Keep four requests of each workspace waiting."""
    ends = engine.now + seconds
    served = Counter()
    engine.served_seconds = [engine.now]
    while engine.now < ends:
        for workspace in workspaces:
            ended = (*engine.granted, *engine.refused)
            asked = engine.count(engine.asks, workspace)
            open_asks = asked - engine.count(ended, workspace)
            for _ in range(4 - open_asks):
                engine.ask(workspace, 3000, patience_seconds=9)
        name = engine.read_one()
        engine.take(engine.admission.ended(engine.now, name))
        asker = name.partition('.')[0]
        served[asker] += engine.asks[name].new_tokens
        if asker == workspaces[0]:
            engine.served_seconds.append(engine.now)
    engine.served_seconds.append(engine.now)
    return served


@when('workspace {workspace} floods for {seconds:d} seconds')
def flood_alone(context, workspace, seconds):
    _flood(context.engine, (workspace,), seconds)


@when('workspaces {first} and {second} flood for {seconds:d} seconds')
def flood_both(context, first, second, seconds):
    context.served = _flood(context.engine, (first, second), seconds)


@then('{one} got at least {part:g} of what {other} got')
def got_part(context, one, part, other):
    served = context.served
    assert served[one] >= part * served[other], served


@when('workspace {first} and {count:d} newcomers flood for {seconds:d} seconds')
def flood_many(context, first, count, seconds):
    newcomers = [f'newcomer-{number}' for number in range(count)]
    _flood(context.engine, (first, *newcomers), seconds)


@then('first pauses for at most {most:g} seconds')
def pauses(context, most):
    served = context.engine.served_seconds
    pause = max(after - before for before, after in pairwise(served))
    assert pause <= most, pause


@when(
    '{count:d} requests of {workspace} that are late already ask'
    ' for {tokens:d} tokens',
)
@when(
    '{count:d} request of {workspace} that is late already asks'
    ' for {tokens:d} tokens',
)
def ask_late(context, count, workspace, tokens):
    for _ in range(count):
        context.engine.ask(workspace, tokens, due_seconds=-1)


@then("the last of agency's requests is granted before those that are late")
def in_time_first(context):
    engine = context.engine
    last = list(engine.asks)[-1]
    assert engine.granted[1] == last, engine.granted
