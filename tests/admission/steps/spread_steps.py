"""Steps for workspaces behind one entry and behind many."""

from __future__ import annotations

from behave import then, when
from spread import (
    NARROW,
    SECONDS,
    SMALL_ASKS_A_SECOND,
    SMALL_PROMPT_TOKENS,
    WARM_SECONDS,
    WIDE,
    Fleet,
)

from sardinetrack.fairness.news import MOST_TOLD


@when('entries tell of as many others as the product does')
def when_product(context):
    context.granted = Fleet(MOST_TOLD).play()


@when('entries tell of {count:d} others with each question')
def when_tell(context, count: int):
    context.granted = Fleet(count).play()


@then('the wide one gets more than {times:g} times what the narrow one gets')
def then_more(context, times: float):
    granted = context.granted
    assert granted[WIDE] > times * granted[NARROW], granted.most_common(2)


@then('the wide one gets less than {times:g} times what the narrow one gets')
def then_less(context, times: float):
    granted = context.granted
    assert granted[NARROW] < times * granted[WIDE], granted.most_common(2)
    assert granted[WIDE] < times * granted[NARROW], granted.most_common(2)


@then('the small ones get at least {part:g} of what they ask for')
def then_small(context, part: float):
    asked_tokens = SMALL_ASKS_A_SECOND * SMALL_PROMPT_TOKENS
    asked_tokens *= SECONDS - WARM_SECONDS
    both = context.granted[WIDE] + context.granted[NARROW]
    small = context.granted.total() - both
    assert small > part * asked_tokens, small / asked_tokens
