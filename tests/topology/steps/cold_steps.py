"""Steps for cold starts of servers."""

from __future__ import annotations

import math

from behave import given, then, when

from sardinetrack.topology.cold import ColdServers
from sardinetrack.topology.servers import BackendServer

_PER_SECOND = 10


def _server(revision, cold_seconds):
    return BackendServer(
        'i-1',
        'models',
        '127.0.0.1',
        8000,
        'galata',
        8,
        leaving=False,
        revision=revision,
        cold_seconds=cold_seconds,
    )


def _cold(context):
    return context.cold.estimate_for('i-1', _PER_SECOND).period


@given(
    'a server that reports at {now:g} seconds that it is cold for '
    '{seconds:g} seconds',
)
def given_report(context, now, seconds):
    context.cold = ColdServers()
    context.revision = 0
    report(context, now, seconds)


@when('it reports at {now:g} seconds that it is cold for {seconds:g} seconds')
def report(context, now, seconds):
    context.revision += 1
    context.record = _server(context.revision, seconds)
    context.cold.update_server(now, context.record)


@when('the same record is read again at {now:g} seconds')
def read_again(context, now):
    context.cold.update_server(now, context.record)


@when('it is assumed cold at {now:g} seconds for {seconds:g} seconds')
def assume_cold(context, now, seconds):
    context.cold.assume_cold_for(now, 'i-1', seconds)


@when('it is no longer listed')
def unlist(context):
    context.cold.keep(())


@then('the server is cold until {until:g} seconds')
def cold_until(context, until):
    assert _cold(context).until_seconds == until


@then('nothing is known of it')
@then('it was never cold')
def unknown(context):
    assert _cold(context).until_seconds == -math.inf
