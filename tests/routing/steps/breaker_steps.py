"""Steps on the breaker of a backend server."""

from __future__ import annotations

from behave import given, step, then, when
from behave.runner import Context

from sardinetrack.routing.breaker import (
    MOST_COOLDOWN_SECONDS,
    Breaker,
    BreakerState,
)


@given('a breaker')
def step_breaker(context: Context) -> None:
    context.now = 0
    context.breaker = Breaker()


@step('{count:d} requests are sent and fail')
def step_fail(context: Context, count: int) -> None:
    sent = [context.breaker.sent() for _ in range(count)]
    for generation in sent:
        context.breaker.failed(context.now, generation)


@given('a slow request is sent')
def step_slow(context: Context) -> None:
    context.slow = context.breaker.sent()


@when('the slow request succeeds')
def step_slow_ok(context: Context) -> None:
    context.breaker.succeeded(context.slow)


@when('the slow request fails')
def step_slow_failed(context: Context) -> None:
    context.breaker.failed(context.now, context.slow)


@when('its cooldown passes')
def step_cooldown(context: Context) -> None:
    context.now += MOST_COOLDOWN_SECONDS


@when('a probe is sent')
def step_probe(context: Context) -> None:
    assert context.breaker.allows(context.now)
    context.probe = context.breaker.sent()


@when('the probe succeeds')
def step_probe_ok(context: Context) -> None:
    context.breaker.succeeded(context.probe)


@when('the probe fails')
def step_probe_failed(context: Context) -> None:
    context.breaker.failed(context.now, context.probe)


@when('the probe ends without a word')
def step_probe_undecided(context: Context) -> None:
    context.breaker.undecided(context.probe)


@then('the breaker allows a request')
def step_allows(context: Context) -> None:
    assert context.breaker.allows(context.now)


@then('the breaker is {state} and allows nothing')
def step_state_closed(context: Context, state: str) -> None:
    assert context.breaker.state is BreakerState(state)
    assert not context.breaker.allows(context.now)


@then('the breaker is {state:w}')
def step_state(context: Context, state: str) -> None:
    assert context.breaker.state is BreakerState(state)
