"""Steps for faded service, counted and told."""

from __future__ import annotations

import math
from unittest.mock import patch

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sardinetrack.fairness.recent import (
    HALF_SECONDS,
    RecentService,
    SharedService,
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
    """Each entry's count by itself, faded step by step."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], float] = {}

    def fade(self, seconds: float) -> None:
        """Let time pass."""
        for key in self.counts:
            self.counts[key] *= 0.5 ** (seconds / HALF_SECONDS)

    def change(self, key: tuple[str, str], tokens: float, *, told: bool):
        """Take a word, or count a grant."""
        held = self.counts.get(key, 0)
        self.counts[key] = max(held, tokens) if told else held + tokens

    def total(self, workspace: str) -> float:
        """Sum over the entries."""
        return sum(
            tokens
            for (_, name), tokens in self.counts.items()
            if name == workspace
        )


@then("over random words and grants each sum is that of the entries' counts")
def then_sums(context):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @for_all(CHANGES)
    def check(changes):
        now = float(0)
        reference = _Reference()
        service = SharedService()
        for told, pause_seconds, entry, workspace, tokens in changes:
            now += pause_seconds
            reference.fade(pause_seconds)
            reference.change((entry, workspace), tokens, told=told)
            take = service.hear if told else service.add
            take(now, entry, workspace, tokens)
            for name in WORKSPACES:
                assert math.isclose(
                    service.tokens(now, name),
                    reference.total(name),
                    rel_tol=1e-6,
                    abs_tol=1e-6,
                )

    check()


@given('entry "{entry}" told {tokens:d} tokens of "{workspace}"')
@when('entry "{entry}" tells {tokens:d} tokens of "{workspace}"')
def hear(context, entry, tokens, workspace):
    if not hasattr(context, 'shared'):
        context.shared = SharedService()
        context.now = 0
    context.shared.hear(context.now, entry, workspace, tokens)


@when('{seconds:d} seconds pass')
def when_pass(context, seconds):
    context.now += seconds


@then('"{workspace}" was served {tokens:d} tokens')
def then_served(context, workspace, tokens):
    served = context.shared.tokens(context.now, workspace)
    assert math.isclose(served, tokens), served


@when(
    '{count:d} names are served, and {seconds:d} seconds later {more:d} others'
)
def when_many(context, count, seconds, more):
    context.service = RecentService[int]()
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
    context.service = RecentService[int]()
    for name in range(count):
        context.service.add(0, name, 1000)
    context.count = count


@when('{count:d} more are served')
def when_more(context, count):
    with patch('math.exp2', wraps=math.exp2) as looked:
        for name in range(count):
            context.service.add(0, context.count + name, 1000)
        context.looks = looked.call_count


@then('all names were walked over at most {times:d} times')
def then_walked(context, times):
    assert context.looks <= times * context.count, context.looks
