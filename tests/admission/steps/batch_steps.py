"""Steps for the limit on concurrent responses."""

from __future__ import annotations

import random

from behave import given, then, when
from writing import DecodingEngine

from sardinetrack.admission.batch import (
    MAX_SLOTS_FRACTION,
    MIN_SLOTS_FRACTION,
    BatchLimit,
)

_TOKENS = 300
_HINT_SPREAD = 0.5


@given('an engine of {slots:d} slots and responses of {tokens:d} tokens')
def given_engine(context, slots, tokens):
    context.engine = DecodingEngine(slots, tokens, limited=True)
    context.full = DecodingEngine(slots, tokens, limited=False)


@when('{rate:d} a second are requested for {seconds:d} seconds')
def run_both(context, rate, seconds):
    context.engine.run(rate, seconds)
    context.full.run(rate, seconds)


@when('responses have {tokens:d} tokens for {seconds:d} seconds')
def run_short(context, tokens, seconds):
    context.engine._median_tokens = tokens  # noqa: SLF001
    context.engine.run(20, seconds)


@then(
    'under a third as many are truncated at their deadline as in a full batch'
)
def fewer_truncated(context):
    truncated = (context.engine.truncated, context.full.truncated)
    assert truncated[1] > 20, truncated
    assert 3 * truncated[0] < truncated[1], truncated


@then('no fewer than nine tenths as many are complete')
def as_many_complete(context):
    complete = (context.engine.complete, context.full.complete)
    assert complete[0] >= 0.9 * complete[1], complete


@then('the full batch is used')
def full_batch(context):
    assert context.engine.slots_fraction == MAX_SLOTS_FRACTION, (
        context.engine.slots_fraction
    )


@then('half of the batch is used')
def half_batch(context):
    assert context.engine.slots_fraction == MIN_SLOTS_FRACTION, (
        context.engine.slots_fraction
    )


@given('a decoding pace of {seconds:g} seconds a token')
def given_pace(context, seconds):
    context.pace_seconds = seconds
    context.limit = BatchLimit()


@when('{count:d} responses end whose lengths were roughly estimated')
def end_responses(context, count):
    rng = random.Random(3)
    for _ in range(count):
        estimate = int(_TOKENS * rng.lognormvariate(0, _HINT_SPREAD))
        context.limit.completed(_TOKENS * context.pace_seconds, estimate)


@then('the decoding pace is estimated within {percent:d} percent')
def estimates_pace(context, percent):
    ratio = context.limit.token_seconds / context.pace_seconds
    assert abs(ratio - 1) < percent / 100, ratio
