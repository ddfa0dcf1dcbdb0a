"""Steps for breakers, retries and strikes."""

from __future__ import annotations

from behave import given, step, then, when

from sardinetrack.messages.api import Strike
from sardinetrack.routing.breaker import (
    INITIAL_COOLDOWN_SECONDS,
    Breaker,
    BreakerState,
)
from sardinetrack.routing.retries import RetryBudget
from sardinetrack.routing.strikes import STRIKE_TTL_SECONDS, StrikeRegistry


@given('a breaker with a request in flight')
def start_breaker(context):
    context.now = 0
    context.breaker = Breaker()
    context.first = context.breaker.request_sent()


@when('{count:d} requests fail')
def fail_requests(context, count):
    for _ in range(count):
        context.breaker.request_failed(
            context.now, context.breaker.request_sent()
        )


@when('the first request succeeds late')
def succeed_late(context):
    context.breaker.request_succeeded(context.first)


@when('the cooldown passes')
def pass_cooldown(context):
    context.now += INITIAL_COOLDOWN_SECONDS


@when('the probe fails')
def fail_probe(context):
    context.breaker.request_failed(context.now, context.breaker.request_sent())


@when('the probe succeeds')
def succeed_probe(context):
    context.breaker.request_succeeded(context.breaker.request_sent())


@when('the probe ends inconclusively')
def end_probe(context):
    context.breaker.request_inconclusive(context.breaker.request_sent())


@when('a probe is sent')
def send_probe(context):
    assert context.breaker.allows(context.now)
    context.breaker.request_sent()


@when('the first request fails late')
def fail_late(context):
    context.breaker.request_failed(context.now, context.first)


@then('the breaker has the state "{state}"')
def check_state(context, state):
    assert context.breaker.state is BreakerState(state)


@then('the breaker allows no request')
def check_none_allowed(context):
    assert not context.breaker.allows(context.now)


@then('the breaker is open')
def check_open(context):
    assert context.breaker.state is BreakerState.OPEN
    assert not context.breaker.allows(context.now)


@then('one request is allowed and no second one')
def check_probe(context):
    assert context.breaker.allows(context.now)
    context.breaker.request_sent()
    assert not context.breaker.allows(context.now)


@then('the breaker stays open longer than the initial cooldown')
def check_longer(context):
    assert not context.breaker.allows(context.now + INITIAL_COOLDOWN_SECONDS)


@given('a retry budget that is used up')
def use_up(context):
    context.budget = RetryBudget(burst=1)
    assert context.budget.try_withdraw()
    assert not context.budget.try_withdraw()


@when('{count:d} first attempts are each retried if the budget allows it')
def attempt(context, count):
    context.retries = 0
    for _ in range(count):
        context.budget.deposit()
        context.retries += context.budget.try_withdraw()


@then('at most {count:d} retries were allowed')
def check_retries(context, count):
    assert 0 < context.retries <= count, context.retries


@step('{fingerprint} was running when server {server} crashed')
def crash(context, fingerprint, server):
    if 'strikes' not in context:
        context.strikes = StrikeRegistry()
    context.strikes.add(0, Strike(fingerprint, server, STRIKE_TTL_SECONDS))


@when('a complete response is received for {fingerprint}')
def answer(context, fingerprint):
    context.strikes.clear(fingerprint)


@then('{fingerprint} is not blocked')
def check_innocent(context, fingerprint):
    assert not context.strikes.blocked_seconds(0, fingerprint)


@then('{fingerprint} is blocked for at most {seconds:g} seconds')
def check_blocked(context, fingerprint, seconds):
    assert 0 < context.strikes.blocked_seconds(0, fingerprint) <= seconds
