"""Steps that run the policy benchmark for a short time."""

from __future__ import annotations

from dataclasses import replace

from behave import then, when
from benchmarks.policy.fair import FairPolicy
from benchmarks.policy.run import run_case
from benchmarks.policy.shapes import DEPLOYMENTS
from tests.naive import FirstComePolicy

SEED = 100


def run(policy):
    shape = next(one for one in DEPLOYMENTS if one.pool == 'chart-api')
    return run_case(replace(shape, seconds=60), policy, 'none', SEED)


@when("one seed of chart-api runs with the product's policy")
def run_product(context):
    context.product = run(FairPolicy())


@when('the same seed runs first come, first served')
def run_first_come(context):
    context.first_come = run(FirstComePolicy())


@then("the product's gap is at most {most:g} largest requests")
def check_gap(context, most):
    assert context.product.gap <= most, context.product.gap


@then("the product's gap is less than a third of the other")
def check_ratio(context):
    gaps = context.product.gap, context.first_come.gap
    assert 3 * gaps[0] < gaps[1], gaps


@then('at most {most:g} percent of slot-time idles while requests wait')
def check_idle(context, most):
    assert 100 * context.product.idle <= most, context.product.idle
