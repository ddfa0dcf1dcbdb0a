"""Steps for service that decays, counted and reported."""

from __future__ import annotations

import math
from unittest.mock import patch

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sardinetrack.fairness.decaying_service import (
    HALF_LIFE_SECONDS,
    DecayingService,
    FleetService,
)

ENTRIES = ('a', 'b', 'c')
WORKSPACES = ('tuna', 'sprat')
CHANGES = st.lists(
    st.tuples(
        st.booleans(),
        st.floats(0, 3),
        st.sampled_from(ENTRIES),
        st.sampled_from(WORKSPACES),
        st.floats(0, 1e6),
    ),
    max_size=40,
)


class _Reference:
    """The separate count of each entry, decayed step by step."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], float] = {}

    def decay(self, seconds: float) -> None:
        """Advance the time."""
        for key in self.counts:
            self.counts[key] *= 0.5 ** (seconds / HALF_LIFE_SECONDS)

    def change(self, key: tuple[str, str], tokens: float, *, reported: bool):
        """Apply a report, or count a grant."""
        before = self.counts.get(key, 0)
        self.counts[key] = max(before, tokens) if reported else before + tokens

    def total(self, workspace: str) -> float:
        """Sum over the entries."""
        return sum(
            tokens
            for (_, name), tokens in self.counts.items()
            if name == workspace
        )


@then("over random reports and grants each sum is that of the entries' counts")
def then_sums(context):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @for_all(CHANGES)
    def check(changes):
        now = float(0)
        reference = _Reference()
        service = FleetService()
        for reported, pause_seconds, entry, workspace, tokens in changes:
            now += pause_seconds
            reference.decay(pause_seconds)
            reference.change((entry, workspace), tokens, reported=reported)
            apply = service.update if reported else service.add
            apply(now, entry, workspace, tokens)
            for name in WORKSPACES:
                assert math.isclose(
                    service.tokens(now, name),
                    reference.total(name),
                    rel_tol=1e-6,
                    abs_tol=1e-6,
                )

    check()


@given('entry "{entry}" has reported {tokens:d} tokens of "{workspace}"')
@when('entry "{entry}" reports {tokens:d} tokens of "{workspace}"')
def report(context, entry, tokens, workspace):
    if not hasattr(context, 'shared'):
        context.shared = FleetService()
        context.now = 0
    context.shared.update(context.now, entry, workspace, tokens)


@when('{seconds:d} seconds pass')
def when_pass(context, seconds):
    context.now += seconds


@then('"{workspace}" has received {tokens:d} tokens')
def then_received(context, workspace, tokens):
    received = context.shared.tokens(context.now, workspace)
    assert math.isclose(received, tokens), received


@when(
    '{count:d} names are served, and {seconds:d} seconds later {more:d} others'
)
def when_many(context, count, seconds, more):
    context.service = DecayingService[int]()
    for name in range(count):
        context.service.add(0, name, 100)
    for name in range(more):
        context.service.add(seconds, count + name, 100)
    context.now = seconds


@then('{count:d} names are kept')
def then_kept(context, count):
    kept = context.service.newest(context.now, 0, 100_000)
    assert len(kept) == count, len(kept)


@given('{count:d} names that were served just now')
def given_served(context, count):
    context.service = DecayingService[int]()
    for name in range(count):
        context.service.add(0, name, 1000)
    context.count = count


@when('{count:d} more are served')
def when_more(context, count):
    with patch('math.exp2', wraps=math.exp2) as decayed:
        for name in range(count):
            context.service.add(0, context.count + name, 1000)
        context.calls = decayed.call_count


@then('all names were iterated over at most {times:d} times')
def then_iterated(context, times):
    assert context.calls <= times * context.count, context.calls
