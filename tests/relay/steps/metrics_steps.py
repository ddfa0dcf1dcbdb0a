"""Steps for the page of metrics."""

from __future__ import annotations

from behave import then
from tests.support.relay_world import KEY

from sardinetrack.relay.metrics import entry_metrics, render_metrics
from sardinetrack.store.api import StoreCounters

_STORE = StoreCounters(calls=3, unreadable=2)


@then('the page counts {count:d} requests served')
def page_counts(context, count):
    state = context.world.entry_state
    context.page = render_metrics(lambda: entry_metrics(state, _STORE)).decode()
    expected = f'sardinetrack_requests_total{{by="served"}} {count}.0'
    assert expected in context.page, context.page


@then('the page has the times to the first event in seconds')
def page_has_times(context):
    assert 'sardinetrack_first_event_seconds_count 1.0' in context.page


@then('the page counts the unreadable objects of the store')
def page_counts_unreadable(context):
    expected = 'sardinetrack_unreadable_objects_total 2.0'
    assert expected in context.page, context.page


@then('no key stands on the page or in the log')
def no_key(context):
    assert KEY not in context.page
    assert KEY not in str(context.world.lines())
