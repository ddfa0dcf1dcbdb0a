"""Steps for permits at an engine after a cold start."""

from __future__ import annotations

from behave import given, then, when
from engine import Engine

from sardinetrack.topology.cold import ColdPeriod

_COLD_SECONDS = 3
_STEP_SECONDS = 0.005


class LoadedEngine(Engine):
    """Gets requests at an even rate.

    Each prompt is prefilled immediately, and none occupies a slot.
    """

    def __init__(self, slots):
        super().__init__(slots)
        self.granted_at = []

    def apply(self, decisions):
        before = len(self.granted)
        super().apply(decisions)
        count = len(self.granted) - before
        self.granted_at.extend(self.now for _ in range(count))

    def run(self, rate, seconds):
        end_seconds = self.now + seconds
        due_seconds = self.now
        while self.now < end_seconds:
            while due_seconds <= self.now:
                self.request('crowd', 100)
                due_seconds += 1 / rate
            self.now += _STEP_SECONDS
            self.apply(self.admission.tick(self.now))
            while self.pending:
                name = self.pending.pop(0)
                self.apply(self.admission.prefill_finished(self.now, name))
                self.apply(self.admission.ended(self.now, name))

    def granted_between(self, begin, end):
        return sum(begin <= at < end for at in self.granted_at)


@given(
    'an engine of {slots:d} slots that is cold for {seconds:g} seconds '
    'and handles {rate:g} requests a second',
)
def open_cold(context, slots, seconds, rate):
    context.engine = LoadedEngine(slots)
    decisions = context.engine.admission.set_cold_period(
        0, ColdPeriod(seconds, rate)
    )
    assert not decisions


@when('{rate:g} requests a second arrive for {seconds:g} seconds')
def arrive(context, rate, seconds):
    context.engine.run(rate, seconds)


@then(
    'in no second of the first {seconds:g} '
    'more than {most:d} permits are granted',
)
def limited(context, seconds, most):
    engine = context.engine
    for begin in engine.granted_at:
        if begin < seconds:
            end = min(begin + 1, seconds)
            assert engine.granted_between(begin, end) <= most, begin


@then('the engine is not left idle while cold')
def used(context):
    engine = context.engine
    rate = engine.admission.cold_start.cold_period.per_second
    granted = engine.granted_between(0, _COLD_SECONDS)
    assert granted >= _COLD_SECONDS * rate, granted


@then(
    'in the quarter second after {begin:g} seconds '
    'at most {most:d} permits are granted',
)
def ramp(context, begin, most):
    assert context.engine.granted_between(begin, begin + 0.25) <= most


@then('{begin:g} seconds after the start permits are limited only by prefill')
def unlimited(context, begin):
    granted = context.engine.granted_between(begin, begin + 0.5)
    assert granted >= 25, granted


@then('the last refusal reports a wait of about {seconds:g} seconds')
def reported_wait(context, seconds):
    last = list(context.engine.refused.values())[-1]
    reported = last.retry_after_seconds
    assert 0.9 * seconds < reported < 1.3 * seconds, reported
