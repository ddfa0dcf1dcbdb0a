"""Steps for the retry budget of one entry."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import patch

from behave import given, then, when

from sardinetrack.relay.side_links import SideLinks

_POOL = 'ice-llm'
_KNOWN = 41


@given(
    'the fleet may send {slack:d} repeats beyond the fraction of '
    'first requests',
)
def set_slack(context, slack):
    state = context.world.entry_state
    state.apply_settings(replace(state.settings, retry_slack=slack))


@when('an entry that knows of {count:d} entries opens its retry budget')
@when('an entry that knows of {count:d} entry opens its retry budget')
@when('it learns that there are {count:d} entries')
def know_entries(context, count):
    with patch.object(SideLinks, 'reported_entries', count):
        context.budget = context.world.entry_state.budget(_POOL)


@when('its settings are applied again')
def apply_again(context):
    state = context.world.entry_state
    state.apply_settings(state.settings)
    know_entries(context, _KNOWN)


@when('the fraction of first requests becomes {ratio:g}')
def change_ratio(context, ratio):
    state = context.world.entry_state
    state.apply_settings(replace(state.settings, retry_ratio=ratio))
    know_entries(context, _KNOWN)


@when('{count:d} requests are sent for the first time')
def send_first(context, count):
    for _ in range(count):
        context.budget.deposit()


@then('it may repeat {count:d} requests')
@then('it may repeat {count:d} request')
def may_repeat(context, count):
    granted = [context.budget.try_withdraw() for _ in range(count + 10)]
    assert sum(granted) == count, granted
