"""Steps for the prefill estimates, on a simulated clock."""

from __future__ import annotations

import random
from math import isclose

from behave import given, then, when

from sardinetrack.admission.pace import PrefillEstimator

_SEED = 7
_ROUND_TRIP_SECONDS = 0.002
_PROMPT_TOKENS = 4000


class _Engine:
    """Prefills prompts in order; sends the first event after a lag."""

    def __init__(self, rate, lag_seconds):
        self.estimator = PrefillEstimator()
        self.rate = rate
        self.lag_seconds = lag_seconds
        self.now = float(0)
        self.rng = random.Random(_SEED)
        self._prefilled_at = float(0)
        self._pending = []
        self._count = 0

    def grant(self, tokens):
        name = str(self._count)
        self._count += 1
        self.estimator.granted(self.now, name, tokens)
        begins = max(self.now + _ROUND_TRIP_SECONDS, self._prefilled_at)
        self._prefilled_at = begins + tokens / self.rate
        self._pending.append((self._prefilled_at + self.lag_seconds, name))
        return self._prefilled_at

    def advance(self, until):
        while self._pending and self._pending[0][0] <= until:
            first_event_at, name = self._pending.pop(0)
            self.estimator.first_event(first_event_at, name)
        self.now = until

    def run_one_by_one(self, count, minimum, maximum):
        for _ in range(count):
            prefilled_at = self.grant(self.rng.randint(minimum, maximum))
            self.advance(prefilled_at + self.lag_seconds + 0.05)

    def run_busy(self, seconds):
        ends = self.now + seconds
        while self.now < ends:
            while self._prefilled_at < self.now + 0.1:
                self.grant(self.rng.randint(300, 2 * _PROMPT_TOKENS))
            self.advance(self.now + 0.01)


@given(
    'an engine that prefills {rate:d} tokens a second '
    'with a lag of {lag:g} seconds',
)
def open_engine(context, rate, lag):
    context.prefill_engine = _Engine(rate, lag)


@when(
    '{count:d} prompts of {minimum:d} to {maximum:d} tokens arrive one by one'
)
def run_one_by_one(context, count, minimum, maximum):
    context.prefill_engine.run_one_by_one(count, minimum, maximum)


@when('it prefills without a break for {seconds:g} seconds')
def run_busy(context, seconds):
    context.prefill_engine.run_busy(seconds)


@when('it becomes {times:d} times slower and prefills for {seconds:g} seconds')
def slow(context, times, seconds):
    context.prefill_engine.rate /= times
    context.prefill_engine.run_busy(seconds)


@when('it gets {tokens:d} tokens and stalls for {seconds:g} seconds')
def stall(context, tokens, seconds):
    context.prefill_engine.grant(tokens)
    context.prefill_engine.now += seconds


@then('its rate is estimated within {percent:d} percent')
def check_rate(context, percent):
    estimate, true = (
        context.prefill_engine.estimator.rate_tokens,
        context.prefill_engine.rate,
    )
    assert isclose(estimate, true, rel_tol=percent / 100), (estimate, true)


@then('its lag is estimated within {seconds:g} seconds')
def check_lag(context, seconds):
    estimate, true = (
        context.prefill_engine.estimator.lag_seconds,
        context.prefill_engine.lag_seconds,
    )
    assert isclose(estimate, true, abs_tol=seconds), (estimate, true)


@then(
    '{after:g} seconds after it has prefilled a prompt '
    'its backlog is below {maximum:g} seconds',
)
def not_busy(context, after, maximum):
    engine = context.prefill_engine
    prefilled_at = engine.grant(_PROMPT_TOKENS)
    engine.advance(prefilled_at + after)
    backlog = engine.estimator.backlog_seconds(engine.now)
    assert backlog < maximum, backlog


@then('its backlog is above {minimum:g} seconds')
def still_busy(context, minimum):
    engine = context.prefill_engine
    backlog = engine.estimator.backlog_seconds(engine.now)
    assert backlog > minimum, backlog


@when(
    '{count:d} streams that prefill nothing begin {seconds:d} second'
    ' after their permits'
)
def continue_streams(context, count, seconds):
    engine = context.prefill_engine
    for number in range(count):
        name = f'moved {number}'
        engine.estimator.granted(engine.now, name, 0)
        engine.advance(engine.now + seconds)
        engine.estimator.first_event(engine.now, name)
