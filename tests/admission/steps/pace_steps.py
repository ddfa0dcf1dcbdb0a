"""Steps for the pace of an engine, on a clock of their own."""

from __future__ import annotations

import random
from math import isclose

from behave import given, then, when

from sardinetrack.admission.pace import ReadingPace

_SEED = 7
_ROUND_TRIP_SECONDS = 0.002
_PROMPT_TOKENS = 4000


class _Engine:
    """Reads prompts in order; tells the first event after a lag."""

    def __init__(self, rate, lag_seconds):
        self.pace = ReadingPace()
        self.rate = rate
        self.lag_seconds = lag_seconds
        self.now = float(0)
        self.random = random.Random(_SEED)
        self._read_at = float(0)
        self._unread = []
        self._count = 0

    def give(self, tokens):
        name = str(self._count)
        self._count += 1
        self.pace.granted(self.now, name, tokens)
        begins = max(self.now + _ROUND_TRIP_SECONDS, self._read_at)
        self._read_at = begins + tokens / self.rate
        self._unread.append((self._read_at + self.lag_seconds, name))
        return self._read_at

    def advance(self, until):
        while self._unread and self._unread[0][0] <= until:
            begun_at, name = self._unread.pop(0)
            self.pace.begun(begun_at, name)
        self.now = until

    def calm(self, count, least, most):
        for _ in range(count):
            read_at = self.give(self.random.randint(least, most))
            self.advance(read_at + self.lag_seconds + 0.05)

    def busy(self, seconds):
        ends = self.now + seconds
        while self.now < ends:
            while self._read_at < self.now + 0.1:
                self.give(self.random.randint(300, 2 * _PROMPT_TOKENS))
            self.advance(self.now + 0.01)


@given(
    'an engine that reads {rate:d} tokens a second '
    'with a lag of {lag:g} seconds',
)
def open_engine(context, rate, lag):
    context.paced = _Engine(rate, lag)


@when('{count:d} prompts of {least:d} to {most:d} tokens come one by one')
def calm(context, count, least, most):
    context.paced.calm(count, least, most)


@when('it reads without a pause for {seconds:g} seconds')
def busy(context, seconds):
    context.paced.busy(seconds)


@when('it turns {times:d} times slower and reads for {seconds:g} seconds')
def slow(context, times, seconds):
    context.paced.rate /= times
    context.paced.busy(seconds)


@when('it is given {tokens:d} tokens and stands still for {seconds:g} seconds')
def stand_still(context, tokens, seconds):
    context.paced.give(tokens)
    context.paced.now += seconds


@then('its rate is known within {percent:d} in 100')
def rate_known(context, percent):
    known, true = context.paced.pace.rate_tokens, context.paced.rate
    assert isclose(known, true, rel_tol=percent / 100), (known, true)


@then('its lag is known within {seconds:g} seconds')
def lag_known(context, seconds):
    known, true = context.paced.pace.lag_seconds, context.paced.lag_seconds
    assert isclose(known, true, abs_tol=seconds), (known, true)


@then(
    '{after:g} seconds after it has read a prompt '
    'its backlog is below {most:g} seconds',
)
def not_busy(context, after, most):
    engine = context.paced
    read_at = engine.give(_PROMPT_TOKENS)
    engine.advance(read_at + after)
    backlog = engine.pace.backlog_seconds(engine.now)
    assert backlog < most, backlog


@then('its backlog is above {least:g} seconds')
def still_busy(context, least):
    engine = context.paced
    backlog = engine.pace.backlog_seconds(engine.now)
    assert backlog > least, backlog
