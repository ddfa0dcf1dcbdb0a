"""Steps for the bound on the answers written at once."""

from __future__ import annotations

import random

from behave import given, then, when
from writing import WritingEngine

from sardinetrack.admission.batch import (
    LEAST_PART,
    SLOTS_PART,
    BatchBound,
)

_TOKENS = 300
_HINT_SPREAD = 0.5


@given('an engine of {slots:d} slots and answers of {tokens:d} tokens')
def given_engine(context, slots, tokens):
    context.engine = WritingEngine(slots, tokens, bounded=True)
    context.full = WritingEngine(slots, tokens, bounded=False)


@when('{rate:d} a second are asked for in {seconds:d} seconds')
def run_both(context, rate, seconds):
    context.engine.run(rate, seconds)
    context.full.run(rate, seconds)


@when('answers are of {tokens:d} tokens again for {seconds:d} seconds')
def run_short(context, tokens, seconds):
    context.engine._median_tokens = tokens  # noqa: SLF001
    context.engine.run(20, seconds)


@then('under a third as many are cut at their deadline as in a full batch')
def fewer_cut(context):
    cut = (context.engine.cut, context.full.cut)
    assert cut[1] > 20, cut
    assert 3 * cut[0] < cut[1], cut


@then('no fewer than nine tenths as many are whole')
def as_many_whole(context):
    whole = (context.engine.whole, context.full.whole)
    assert whole[0] >= 0.9 * whole[1], whole


@then('the whole batch is used')
def whole_batch(context):
    assert context.engine.part == SLOTS_PART, context.engine.part


@then('half of the batch is used')
def half_batch(context):
    assert context.engine.part == LEAST_PART, context.engine.part


@given('a pace of {seconds:g} seconds a token')
def given_pace(context, seconds):
    context.pace_seconds = seconds
    context.bound = BatchBound()


@when('{count:d} answers end whose lengths were roughly told')
def end_answers(context, count):
    chance = random.Random(3)
    for _ in range(count):
        told = int(_TOKENS * chance.lognormvariate(0, _HINT_SPREAD))
        context.bound.wrote(_TOKENS * context.pace_seconds, told)


@then('the pace is known within {percent:d} in 100')
def knows_pace(context, percent):
    known = context.bound.token_seconds / context.pace_seconds
    assert abs(known - 1) < percent / 100, known
