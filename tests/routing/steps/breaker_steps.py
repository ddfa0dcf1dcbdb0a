"""Steps for breakers, retries and strikes."""

from __future__ import annotations

from behave import given, step, then, when

from sardinetrack.messages.api import Strike
from sardinetrack.routing.breaker import (
    FIRST_COOLDOWN_SECONDS,
    Breaker,
    BreakerState,
)
from sardinetrack.routing.retries import RetryBudget
from sardinetrack.routing.strikes import STRIKE_SECONDS, StrikeBook


@given('a breaker with a request on its way')
def start_breaker(context):
    context.now = 0
    context.breaker = Breaker()
    context.first = context.breaker.sent()


@when('{count:d} requests fail')
def fail_requests(context, count):
    for _ in range(count):
        context.breaker.failed(context.now, context.breaker.sent())


@when('the first request succeeds late')
def succeed_late(context):
    context.breaker.succeeded(context.first)


@when('the cooldown passes')
def pass_cooldown(context):
    context.now += FIRST_COOLDOWN_SECONDS


@when('the probe fails')
def fail_probe(context):
    context.breaker.failed(context.now, context.breaker.sent())


@when('the probe succeeds')
def succeed_probe(context):
    context.breaker.succeeded(context.breaker.sent())


@when('the probe ends without a word')
def end_probe(context):
    context.breaker.undecided(context.breaker.sent())


@when('a probe goes out')
def send_probe(context):
    assert context.breaker.allows(context.now)
    context.breaker.sent()


@when('the first request fails late')
def fail_late(context):
    context.breaker.failed(context.now, context.first)


@then('the breaker has the state "{state}"')
def check_state(context, state):
    assert context.breaker.state is BreakerState(state)


@then('the breaker lets nothing through')
def check_shut(context):
    assert not context.breaker.allows(context.now)


@then('the breaker is open')
def check_open(context):
    assert context.breaker.state is BreakerState.OPEN
    assert not context.breaker.allows(context.now)


@then('one request is let through and no second one')
def check_probe(context):
    assert context.breaker.allows(context.now)
    context.breaker.sent()
    assert not context.breaker.allows(context.now)


@then('the breaker stays shut out for the first cooldown')
def check_longer(context):
    assert not context.breaker.allows(context.now + FIRST_COOLDOWN_SECONDS)


@given('a retry budget that is used up')
def use_up(context):
    context.budget = RetryBudget(burst=1)
    assert context.budget.take()
    assert not context.budget.take()


@when('{count:d} first attempts are made and retried while it lasts')
def attempt(context, count):
    context.retries = 0
    for _ in range(count):
        context.budget.first_attempt()
        context.retries += context.budget.take()


@then('at most {count:d} retries were allowed')
def check_retries(context, count):
    assert 0 < context.retries <= count, context.retries


@step('{fingerprint} was running when server {server} crashed')
def crash(context, fingerprint, server):
    if 'book' not in context:
        context.book = StrikeBook()
    context.book.add(0, Strike(fingerprint, server, STRIKE_SECONDS))


@when('{fingerprint} is answered whole')
def answer(context, fingerprint):
    context.book.clear(fingerprint)


@then('{fingerprint} is not condemned')
def check_innocent(context, fingerprint):
    assert not context.book.condemned_seconds(0, fingerprint)


@then('{fingerprint} is condemned for at most {seconds:g} seconds')
def check_condemned(context, fingerprint, seconds):
    assert 0 < context.book.condemned_seconds(0, fingerprint) <= seconds
