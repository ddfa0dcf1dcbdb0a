"""Steps for the expected lengths of outputs."""

from __future__ import annotations

from behave import given, then, when

from sardinetrack.placement.prompt import Prompt
from sardinetrack.relay.lengths import OutputLengths

_ROUTE = 'r-1'


@given('a route whose outputs have at most {maximum:d} tokens')
def given_route(context, maximum):
    context.lengths = OutputLengths()
    context.maximum = maximum


def _estimated(context, tokens):
    prompt = Prompt((), 100, tokens, context.maximum, is_estimated=True)
    return context.lengths.tokens(_ROUTE, prompt)


@when('{count:d} callers estimate {minimum:d} to {maximum:d} tokens')
def estimate(context, count, minimum, maximum):
    for number in range(count):
        _estimated(context, minimum if number % 2 else maximum)


@when('the route is removed from the configuration')
def drop_route(context):
    context.lengths.keep({'r-2'})


@then(
    'an output without an estimate is expected to have'
    ' {minimum:d} to {maximum:d} tokens',
)
def expected_range(context, minimum, maximum):
    prompt = Prompt((), 100, context.maximum, context.maximum)
    tokens = context.lengths.tokens(_ROUTE, prompt)
    assert minimum <= tokens <= maximum, tokens


@then(
    'an output whose caller estimates {estimated:d} is expected to have'
    ' {tokens:d} tokens',
)
def expected_as_estimated(context, estimated, tokens):
    assert _estimated(context, estimated) == tokens
