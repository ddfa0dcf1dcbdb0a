"""Steps for turns at a cold engine."""

from __future__ import annotations

from behave import given, then, when
from engine import Engine

from sardinetrack.topology.cold import Cold

_COLD_SECONDS = 3
_STEP_SECONDS = 0.005


class Crowd(Engine):
    """Asks at an even rate; each prompt is read at once, none holds a slot."""

    def __init__(self, slots):
        super().__init__(slots)
        self.granted_at = []

    def take(self, verdicts):
        before = len(self.granted)
        super().take(verdicts)
        count = len(self.granted) - before
        self.granted_at.extend(self.now for _ in range(count))

    def run(self, rate, seconds):
        end_seconds = self.now + seconds
        due_seconds = self.now
        while self.now < end_seconds:
            while due_seconds <= self.now:
                self.ask('crowd', 100)
                due_seconds += 1 / rate
            self.now += _STEP_SECONDS
            self.take(self.admission.tick(self.now))
            while self.unread:
                name = self.unread.pop(0)
                self.take(self.admission.begun(self.now, name))
                self.take(self.admission.ended(self.now, name))

    def granted_between(self, begin, end):
        return sum(begin <= at < end for at in self.granted_at)


@given(
    'an engine of {slots:d} slots that is cold for {seconds:g} seconds '
    'and bears {rate:g} a second',
)
def open_cold(context, slots, seconds, rate):
    context.engine = Crowd(slots)
    verdicts = context.engine.admission.cool(0, Cold(seconds, rate))
    assert not verdicts


@when('a crowd of {rate:g} a second asks for {seconds:g} seconds')
def crowd(context, rate, seconds):
    context.engine.run(rate, seconds)


@then(
    'in no second of the first {seconds:g} more than {most:d} turns are granted'
)
def bounded(context, seconds, most):
    engine = context.engine
    for begin in engine.granted_at:
        if begin < seconds:
            end = min(begin + 1, seconds)
            assert engine.granted_between(begin, end) <= most, begin


@then('the engine is not left idle while cold')
def used(context):
    engine = context.engine
    bears = engine.admission.warming.cold.per_second
    granted = engine.granted_between(0, _COLD_SECONDS)
    assert granted >= _COLD_SECONDS * bears, granted


@then(
    'in the quarter second after {begin:g} seconds '
    'at most {most:d} turns are granted',
)
def ramp(context, begin, most):
    assert context.engine.granted_between(begin, begin + 0.25) <= most


@then('{begin:g} seconds after the start turns are bound by reading alone')
def unbound(context, begin):
    granted = context.engine.granted_between(begin, begin + 0.5)
    assert granted >= 25, granted


@then('the wait that the last one is told is about {seconds:g} seconds')
def told_wait(context, seconds):
    last = list(context.engine.refused.values())[-1]
    told = last.retry_after_seconds
    assert 0.9 * seconds < told < 1.3 * seconds, told
