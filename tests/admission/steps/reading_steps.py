"""Steps for permits at an engine."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise
from math import isclose

from behave import given, step, then, when
from engine import Engine

from sardinetrack.admission.pace import INITIAL_RATE_TOKENS
from sardinetrack.admission.usage import EngineActivity


@given('an engine of {slots:d} slot')
@given('an engine of {slots:d} slots')
def open_engine(context, slots):
    context.engine = Engine(slots)


@step('workspace {workspace} sends a request of {tokens:d} prompt tokens')
def request_one(context, workspace, tokens):
    context.engine.request(workspace, tokens)


@step(
    'workspace guest sends a request of {tokens:d} prompt tokens'
    ' away from home, waiting for at most {seconds:g} seconds',
)
def request_away(context, seconds, tokens):
    context.engine.request('guest', tokens, max_wait_seconds=seconds)


@step(
    'a request of {workspace} arrives with {tokens:d} prompt tokens'
    ' away from home, waiting for at most {seconds:g} seconds',
)
def request_away_of(context, workspace, seconds, tokens):
    context.engine.request(workspace, tokens, max_wait_seconds=seconds)


@step(
    'workspace {workspace} sends {count:d} requests of {tokens:d} prompt tokens'
)
def request_often(context, workspace, count, tokens):
    for _ in range(count):
        context.engine.request(workspace, tokens)


@step(
    'after {served:d} tokens of service elsewhere {workspace}'
    ' sends {count:d} requests of {tokens:d} prompt tokens',
)
def request_served(context, served, workspace, count, tokens):
    for _ in range(count):
        context.engine.request(
            workspace,
            tokens,
            entry='e',
            served_tokens=served,
            max_wait_seconds=2,
        )


@step(
    'workspace {workspace} sends {count:d} requests of {tokens:d} prompt tokens'
    ' and {output:d} output tokens',
)
def request_long(context, workspace, count, tokens, output):
    for _ in range(count):
        context.engine.request(
            workspace, tokens, kv_cache_tokens=tokens + output
        )


@when('{count:d} responses have each occupied a slot for {seconds:g} seconds')
def occupy_slots(context, count, seconds):
    engine = context.engine
    first = len(engine.granted)
    for _ in range(count):
        engine.request('before', 100)
    while engine.pending:
        engine.prefill_one()
    engine.now += seconds
    for name in engine.granted[first:]:
        engine.apply(engine.admission.ended(engine.now, name))


@then('it reports a wait of about {seconds:g} seconds')
def reports_wait(context, seconds):
    reported = context.engine.admission.wait_seconds(context.engine.now)
    assert 0.9 * seconds < reported < 1.1 * seconds, reported


@when('the engine has prefilled one prompt')
def prefill_one(context):
    context.before = list(context.engine.granted)
    context.engine.prefill_one()


@when('the engine prefills prompts for {seconds:d} second')
def prefill_for(context, seconds):
    engine = context.engine
    ends = engine.now + seconds
    while engine.pending and engine.now < ends:
        engine.prefill_one()


@when('{seconds:g} seconds pass at the engine')
def wait(context, seconds):
    engine = context.engine
    engine.now += seconds
    engine.apply(engine.admission.tick(engine.now))


@when('the request of {workspace} ends')
def end_request(context, workspace):
    engine = context.engine
    engine.apply(engine.admission.ended(engine.now, f'{workspace}.0'))


@when('its prefill takes five times as long for a while')
def slow_down(context):
    engine = context.engine
    for _ in range(300):
        engine.request('probe', 2000)
        engine.run_one(INITIAL_RATE_TOKENS / 5)


@when(
    '{count:d} workspaces send requests at random for {seconds:d} seconds'
    ' with seed {seed:d}'
)
def request_at_random(context, count, seconds, seed):
    engine = context.engine
    rng = random.Random(seed)
    names = [f'w{number}' for number in range(count)]
    while engine.now < seconds:
        rng.shuffle(names)
        for workspace in names:
            if rng.randrange(5):
                engine.request(workspace, rng.randint(200, 6000))
        if engine.pending:
            engine.run_one()
        else:
            engine.now += 0.05
    engine.now += 10
    engine.apply(engine.admission.tick(engine.now))


@then('{workspace} is granted {count:d} permit')
@then('{workspace} is granted {count:d} permits')
def is_granted(context, workspace, count):
    engine = context.engine
    got = engine.count(engine.granted, workspace)
    assert got == count, got


@then('{workspace} is granted fewer permits')
def is_granted_fewer(context, workspace):
    engine = context.engine
    assert engine.count(engine.granted, workspace) < 6, engine.granted


@then('some requests of {workspace} are refused immediately')
def some_refused(context, workspace):
    engine = context.engine
    assert engine.count(engine.refused, workspace) > 0
    waits = [one.waited_seconds for one in engine.refused.values()]
    assert not any(waits)


@then('their retry delay is the time in which the queue drains')
def retry_after_drain(context):
    engine = context.engine
    for refused in engine.refused.values():
        drain_seconds = refused.ahead_tokens / engine.admission.rate_tokens
        retry_seconds = refused.retry_after_seconds
        assert isclose(retry_seconds, drain_seconds, abs_tol=0.1)


@then('{workspace} is not refused')
def not_refused(context, workspace):
    assert not context.engine.count(context.engine.refused, workspace)


@then('{count:d} of the requests of {workspace} are refused')
def are_refused(context, count, workspace):
    got = context.engine.count(context.engine.refused, workspace)
    assert got == count, got


@then('its estimated prefill rate falls to a fifth')
def rate_fell(context):
    rate = context.engine.admission.rate_tokens
    expected = INITIAL_RATE_TOKENS / 5
    assert isclose(rate, expected, rel_tol=0.1), rate


@then('every request got one decision')
def one_decision(context):
    engine = context.engine
    assert len(engine.granted) + len(engine.refused) == len(engine.requests)


@then('workspaces that waited all the time received equal service')
def equal_service(context):
    engine = context.engine
    served = Counter()
    for name in engine.granted:
        served[name.split('.')[0]] += engine.requests[name].cost
    most, least = max(served.values()), min(served.values())
    # Service decays by half every 4 s, so a difference of one largest request
    # (6,100 tokens) may arise again in each of the seven spans of a run.
    assert most - least < 7 * 6100, served


@step(
    'workspace {workspace} sends a request of {tokens:d} prompt tokens, '
    'due in {seconds:g} seconds',
)
def request_due(context, workspace, tokens, seconds):
    context.engine.request(
        workspace,
        tokens,
        max_wait_seconds=seconds,
        first_event_due_seconds=seconds,
    )


@then(
    'its usage report counts {count:d} permits, '
    'and prefill with and without waiting requests',
)
def reports_usage(context, count):
    engine = context.engine
    usage = engine.admission.usage
    assert usage.granted == count, usage
    assert usage.seconds[EngineActivity.FULL] > 0, usage
    assert usage.seconds[EngineActivity.PREFILLING] > 0, usage


@step(
    'workspace {workspace} sends a request whose {tokens:d} prompt tokens '
    'stay in the KV cache',
)
def request_staying(context, workspace, tokens):
    context.engine.request(workspace, tokens, kv_cache_tokens=tokens)
    while context.engine.pending:
        context.engine.run_one()


@then('it caches a prefix for longer than {seconds:g} seconds')
def caches_long(context, seconds):
    engine = context.engine
    assert engine.admission.prefix_retention_seconds(engine.now) > seconds


@then('it caches a prefix for less than {seconds:g} seconds')
def caches_short(context, seconds):
    engine = context.engine
    assert engine.admission.prefix_retention_seconds(engine.now) < seconds


def _flood(engine, workspaces, seconds):
    """Keep four requests of each workspace waiting."""
    ends = engine.now + seconds
    served = Counter()
    engine.served_seconds = [engine.now]
    while engine.now < ends:
        for workspace in workspaces:
            decided = (*engine.granted, *engine.refused)
            sent = engine.count(engine.requests, workspace)
            waiting = sent - engine.count(decided, workspace)
            for _ in range(4 - waiting):
                engine.request(workspace, 3000, max_wait_seconds=9)
        name = engine.prefill_one()
        engine.apply(engine.admission.ended(engine.now, name))
        owner = name.partition('.')[0]
        served[owner] += engine.requests[name].prefill_tokens
        if owner == workspaces[0]:
            engine.served_seconds.append(engine.now)
    engine.served_seconds.append(engine.now)
    return served


@when('workspace {workspace} floods for {seconds:d} seconds')
def flood_alone(context, workspace, seconds):
    _flood(context.engine, (workspace,), seconds)


@when('workspaces {first} and {second} flood for {seconds:d} seconds')
def flood_both(context, first, second, seconds):
    context.served = _flood(context.engine, (first, second), seconds)


@then('{one} received at least {fraction:g} of what {other} received')
def received_fraction(context, one, fraction, other):
    served = context.served
    assert served[one] >= fraction * served[other], served


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
    'workspace {workspace} sends {count:d} late requests'
    ' of {tokens:d} prompt tokens',
)
@when(
    'workspace {workspace} sends {count:d} late request'
    ' of {tokens:d} prompt tokens',
)
def request_late(context, count, workspace, tokens):
    for _ in range(count):
        context.engine.request(workspace, tokens, first_event_due_seconds=-1)


@then('the last request of agency is granted before the late ones')
def in_time_first(context):
    engine = context.engine
    last = list(engine.requests)[-1]
    assert engine.granted[1] == last, engine.granted


@when('the clock moves on by {seconds:g} seconds')
def move_clock(context, seconds):
    context.engine.now += seconds


@then('a decision is due now')
def is_due(context):
    engine = context.engine
    due = engine.admission.next_deadline_seconds(engine.now)
    assert due == engine.now, due


@when('a stream of {workspace} continues here')
def continue_stream(context, workspace):
    continue_streams(context, 1, workspace)


@when('{count:d} streams of {workspace} continue here')
def continue_streams(context, count, workspace):
    for _ in range(count):
        context.engine.request(workspace, 0, output_tokens=0)


@then('the last stream of pilot was refused immediately')
def refused_immediately(context):
    last = list(context.engine.requests)[-1]
    assert last in context.engine.refused
