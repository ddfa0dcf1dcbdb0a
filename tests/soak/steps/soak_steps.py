"""Steps for a short soak."""

from __future__ import annotations

import asyncio

from behave import then, when
from benchmarks.soak.__main__ import soak


@when('the soak plays seed {seed:d} for {seconds:d} seconds')
def play(context, seed, seconds):
    context.broken = asyncio.run(soak(seed, seconds))


@then('no promise is broken')
def none_broken(context):
    assert not context.broken, context.broken
