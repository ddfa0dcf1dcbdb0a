"""Steps for a short soak test."""

from __future__ import annotations

import asyncio

from behave import then, when
from benchmarks.soak.__main__ import soak


@when('the soak test runs seed {seed:d} for {seconds:d} seconds')
def run_soak(context, seed, seconds):
    context.violations = asyncio.run(soak(seed, seconds))


@then('no guarantee is violated')
def no_violations(context):
    assert not context.violations, context.violations
