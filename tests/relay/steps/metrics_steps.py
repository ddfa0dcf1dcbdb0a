"""Steps for the page of metrics."""

from __future__ import annotations

from unittest import mock

from behave import then, when
from tests.support.relay_world import KEY

from sardinetrack.relay.metrics import entry_metrics, render_metrics
from sardinetrack.relay.status_pages import StatusPageConnection
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


@when('{count:d} requests for a page arrive in one piece')
def request_ahead(context, count):
    context.render = mock.Mock(return_value=(200, b'page'))
    context.transport = mock.Mock()
    context.transport.get_write_buffer_size.return_value = 0
    connection = StatusPageConnection({b'/metrics': context.render})
    connection.connection_made(context.transport)
    connection.data_received(b'GET /metrics HTTP/1.1\r\n\r\n' * count)


@then('the page is rendered once and the connection closes')
def rendered_once(context):
    assert context.render.call_count == 1
    context.transport.close.assert_called_once()
