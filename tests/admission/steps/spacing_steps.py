"""Steps for the spacing of prompts."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import astuple

from behave import given, step, then, when
from streaming import StreamingEngine

from sardinetrack.admission.usage import EngineActivity

_SLOW = (0.058, 2048)
_FAST = (0.025, 1024)
_WARM_SECONDS = 15


@given('a slow engine that reports, and one that does not')
@given('a fast engine that reports, and one that does not')
def open_engines(context):
    figures = _FAST if 'a fast' in context.scenario.steps[0].name else _SLOW
    context.engine = StreamingEngine(*figures)
    context.silent = StreamingEngine(*figures)
    context.silent.is_reporting = False


@given('a slow engine whose pace is known, with streams')
def open_warm(context):
    context.engine = StreamingEngine(*_SLOW)
    _warm_up(context.engine)


def _warm_up(engine):
    _load(engine, _WARM_SECONDS, 0.6, (2500, 6000))
    while engine.admission.waiting or any(one.left for one in engine.runs):
        engine.step()
    for _ in range(3):
        engine.request('streams', 100, events=1000)
    engine.run(1)
    assert engine.admission.step_pace(engine.now).is_known


def _load(engine, seconds, fraction, sizes, workspaces=5):
    rng = random.Random(1)
    chunk_seconds, chunk_tokens = engine.chunk
    interval = sum(sizes) / 2 / fraction * chunk_seconds / chunk_tokens
    due, ends = engine.now, engine.now + seconds
    while engine.now < ends:
        while due <= engine.now:
            workspace = f'w{rng.randrange(workspaces)}'
            events = rng.randint(20, 90)
            engine.request(workspace, rng.randint(*sizes), events)
            due += rng.expovariate(1 / interval)
        engine.step()


@when(
    '{count:d} workspaces send prompts of {least:d} to {most:d} tokens'
    ' for {seconds:d} seconds, at {percent:d} percent'
)
def send_prompts(context, count, least, most, seconds, percent):
    for engine in (context.engine, context.silent):
        sizes = (least, most)
        _load(engine, _WARM_SECONDS, percent / 100, sizes, count)
        engine.pauses.clear()
        engine.wakeups = 0
        _load(engine, seconds, percent / 100, sizes, count)
    context.seconds = seconds


@then('without reports streams pause for longer than {seconds:g} seconds')
def pauses_without(context, seconds):
    assert max(context.silent.pauses) > seconds


@then('with reports no stream pauses for longer than {seconds:g} seconds')
def pauses_with(context, seconds):
    assert max(context.engine.pauses) <= seconds, max(context.engine.pauses)


@then('with reports every first event comes within {seconds:g} seconds')
def first_events(context, seconds):
    engine = context.engine
    assert max(engine.first_waits) <= seconds, max(engine.first_waits)
    assert not engine.refused, engine.refused


@then(
    'with reports at least {fraction:g} of the prompt tokens are prefilled',
)
def throughput(context, fraction):
    done = context.engine.prefilled / context.silent.prefilled
    assert done >= fraction, done


@then('with reports fewer than {count:d} timers a second are needed')
def timers(context, count):
    rate = context.engine.wakeups / context.seconds
    assert rate < count, rate


@then('both grant the same requests at the same moments')
def same_grants(context):
    assert context.engine.grants == context.silent.grants
    assert context.engine.refused == context.silent.refused


@then('the pace of its steps is known')
def pace_known(context):
    assert context.engine.admission.step_pace(context.engine.now).is_known


@then('the pace of its steps is unknown')
def pace_unknown(context):
    pace = context.engine.admission.step_pace(context.engine.now)
    assert astuple(pace) == (0, 0, 0), pace


@then(
    'its events hold about {tokens:d} tokens, and its steps take about'
    ' {decode:g} and {prefill:g} seconds',
)
def pace_is(context, tokens, decode, prefill):
    pace = context.engine.admission.step_pace(context.engine.now)
    assert math.isclose(pace.event_tokens, tokens, rel_tol=0.02), pace
    assert math.isclose(pace.decode_step_seconds, decode, rel_tol=0.1), pace
    # The mean deviation is included; without any it would be 0.058.
    assert prefill <= pace.prefill_step_seconds <= 1.4 * prefill, pace


@when('a stream runs while a prompt of {tokens:d} tokens is prefilled')
def one_stream(context, tokens):
    context.engine.request('pilot', 100, events=1000)
    context.engine.run(1)
    context.engine.request('agency', tokens)
    context.engine.run(1)


@step('workspace {workspace} sends a prompt of {tokens:d} tokens')
def send_prompt(context, workspace, tokens):
    context.engine.request(workspace, tokens)


@step('{seconds:g} seconds pass at the streams')
def wait(context, seconds):
    context.engine.run(seconds)


def _is_granted(engine, workspace):
    return any(name.startswith(workspace) for _, name in engine.grants)


@then(
    'agency is granted no permit while the engine prefills,'
    ' nor {seconds:g} seconds after',
)
def not_granted(context, seconds):
    engine = context.engine
    while any(one.left for one in engine.runs):
        engine.step()
    engine.run(seconds - 0.0055)
    assert not _is_granted(engine, 'agency')


@then('agency is granted a permit within {seconds:g} seconds')
def granted(context, seconds):
    context.engine.run(seconds)
    assert _is_granted(context.engine, 'agency')


@then(
    'its usage report shows that requests waited for the spacing'
    ' for at least {least:g} seconds',
)
def usage(context, least):
    seconds = context.engine.admission.usage.seconds
    assert seconds[EngineActivity.SPACED] >= least, seconds


@then('a request away from home is refused immediately')
def refused(context):
    context.engine.request('guest', 1000, max_wait_seconds=0.02)
    assert context.engine.refused[-1].startswith('guest')


@then('the reported wait is longer than the prefill that is left')
def reported_wait(context):
    engine = context.engine
    left = engine.admission.estimator.backlog_seconds(engine.now)
    assert engine.admission.wait_seconds(engine.now) > left


@when('its reports stop for {seconds:d} seconds')
def stop_reports(context, seconds):
    context.engine.is_reporting = False
    context.engine.run(seconds)


@then('a prompt is granted while another one is being prefilled')
def granted_as_before(context):
    engine = context.engine
    engine.request('pilot', 8000)
    engine.request('agency', 3000)
    while not _is_granted(engine, 'agency'):
        engine.step()
    assert engine.runs[-2].left, engine.runs


@when('the entries report its restart')
def restart(context):
    engine = context.engine
    engine.apply(engine.admission.handle_restart(engine.now))


@when('its report shows another start')
def other_start(context):
    engine = context.engine
    report = engine.report(started=2)
    engine.apply(engine.admission.observe_engine(engine.now, report))


@when(
    'the pace is known, and {count:d} workspaces send {prompts:d} prompts'
    ' of {least:d} to {most:d} tokens each',
)
def send_all(context, count, prompts, least, most):
    engine = context.engine
    _warm_up(engine)
    engine.grants.clear()
    rng = random.Random(1)
    late = {'max_wait_seconds': 60, 'first_event_due_seconds': 60}
    sizes = [rng.randint(least, most) for _ in range(prompts)]
    for size in sizes:
        for workspace in range(count):
            engine.request(f'turn{workspace}', size, **late)
    context.sent = count * prompts


@then('with reports all of them are granted')
def all_granted(context):
    engine = context.engine
    engine.run(20)
    assert len(engine.grants) == context.sent, engine.grants


@then('each workspace has been granted as many as another one, or one fewer')
def in_turn(context):
    count = Counter()
    for _, name in context.engine.grants:
        count[name.split('.')[0]] += 1
        fewest = min(count.values()) if len(count) == 6 else 0
        assert max(count.values()) <= fewest + 1, count
