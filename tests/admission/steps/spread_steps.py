"""Steps for workspaces behind one entry and behind many."""

from __future__ import annotations

from behave import then, when
from spread import (
    NARROW,
    SECONDS,
    SMALL_PROMPT_TOKENS,
    SMALL_REQUESTS_A_SECOND,
    WARM_SECONDS,
    WIDE,
    Fleet,
)

from sardinetrack.fairness.service_updates import MAX_REPORTED_WORKSPACES


@when('entries report as many other workspaces as the product does')
def when_product(context):
    context.granted = Fleet(MAX_REPORTED_WORKSPACES).run()


@when('entries report {count:d} other workspaces with each request')
def when_report(context, count: int):
    context.granted = Fleet(count).run()


@then(
    'the wide workspace receives more than {times:g} times '
    'what the narrow one receives',
)
def then_more(context, times: float):
    granted = context.granted
    assert granted[WIDE] > times * granted[NARROW], granted.most_common(2)


@then(
    'the wide workspace receives less than {times:g} times '
    'what the narrow one receives',
)
def then_less(context, times: float):
    granted = context.granted
    assert granted[NARROW] < times * granted[WIDE], granted.most_common(2)
    assert granted[WIDE] < times * granted[NARROW], granted.most_common(2)


@then(
    'the small workspaces receive at least {fraction:g} of what they request',
)
def then_small(context, fraction: float):
    requested_tokens = SMALL_REQUESTS_A_SECOND * SMALL_PROMPT_TOKENS
    requested_tokens *= SECONDS - WARM_SECONDS
    both = context.granted[WIDE] + context.granted[NARROW]
    small = context.granted.total() - both
    assert small > fraction * requested_tokens, small / requested_tokens
