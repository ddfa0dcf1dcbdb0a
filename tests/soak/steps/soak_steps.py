"""Steps for a short soak test."""

from __future__ import annotations

import asyncio

from behave import then, when
from benchmarks.soak.__main__ import soak
from benchmarks.soak.world import Options


@when('the soak test runs seed {seed:d} for {seconds:d} seconds')
def run_soak(context, seed, seconds):
    context.violations = asyncio.run(soak(seed, seconds))


@when(
    'the soak test runs planned work of seed {seed:d} for {seconds:d} seconds'
)
def run_planned_work(context, seed, seconds):
    options = Options(planned_only=True)
    context.violations = asyncio.run(soak(seed, seconds, options))


@when(
    'the soak test runs disturbed starts'
    ' of seed {seed:d} for {seconds:d} seconds'
)
def run_disturbed_starts(context, seed, seconds):
    options = Options(planned_only=True, starts=True)
    context.violations = asyncio.run(soak(seed, seconds, options))


@when(
    'the soak test lets servers leave beside {trouble},'
    ' seed {seed:d}, for {seconds:d} seconds'
)
def run_leavings(context, trouble, seed, seconds):
    options = Options(leavings=True, trouble=trouble)
    context.violations = asyncio.run(soak(seed, seconds, options))


@then('no guarantee is violated')
def no_violations(context):
    assert not context.violations, context.violations
