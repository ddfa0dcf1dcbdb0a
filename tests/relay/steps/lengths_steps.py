"""Steps for the lengths of answers."""

from __future__ import annotations

from behave import given, then, when

from sardinetrack.placement.prompt import Prompt
from sardinetrack.relay.lengths import AnswerLengths

_ROUTE = 'r-1'


@given('a route whose answers have {most:d} tokens at the most')
def given_route(context, most):
    context.lengths = AnswerLengths()
    context.most = most


def _estimated(context, tokens):
    prompt = Prompt((), 100, tokens, context.most, is_estimated=True)
    return context.lengths.tokens(_ROUTE, prompt)


@when('{count:d} callers estimate {least:d} to {most:d} tokens')
def estimate(context, count, least, most):
    for number in range(count):
        _estimated(context, least if number % 2 else most)


@when('the route is configured no more')
def drop_route(context):
    context.lengths.keep({'r-2'})


@then('an answer without an estimate is taken for {least:d} to {most:d} tokens')
def taken_for(context, least, most):
    prompt = Prompt((), 100, context.most, context.most)
    tokens = context.lengths.tokens(_ROUTE, prompt)
    assert least <= tokens <= most, tokens


@then(
    'an answer whose caller estimates {told:d} is taken for {tokens:d} tokens',
)
def taken_as_told(context, told, tokens):
    assert _estimated(context, told) == tokens
