"""Steps for the record of attempts."""

from __future__ import annotations

from behave import given, then, when

from sardinetrack.admission.attempts import AttemptEvent, AttemptRegistry

_EVENTS = (AttemptEvent.ARRIVE, AttemptEvent.START, AttemptEvent.FINISH)


@given('an attempt registry that keeps {count:d} ended attempts')
def create_registry(context, count):
    context.now = 0
    context.registry = AttemptRegistry(max_ended=count)


@when('attempts {names} ran to their end')
def run_attempts(context, names):
    for name in names.split(', '):
        for event in _EVENTS:
            context.registry.apply(context.now, name, event)


@when('{seconds:g} seconds pass in the registry')
def pass_seconds(context, seconds):
    context.now += seconds
    context.registry.drop_expired(context.now)


@then('the registry reports {name} as {status}')
def check_registry(context, name, status):
    found = context.registry.final_status(context.now, name)
    assert found == status, found
