"""Steps for the service ledger."""

from __future__ import annotations

from behave import given, step, then, when

from sardinetrack.fairness.ledger import SYNC_SECONDS, Ledger
from sardinetrack.messages.api import ServiceReport, ServiceRow

CLOSE = 1e-6


@given('a fresh ledger')
def fresh(context):
    context.now = 0
    context.ledger = Ledger()
    context.first_tag = None
    context.services = {}


@given('a synced ledger')
def synced(context):
    fresh(context)
    context.ledger.set_waiting(0, 'nobody', 0)
    context.now = SYNC_SECONDS
    context.ledger.set_waiting(context.now, 'nobody', 0)


@step('peer {entry} reports {name} at service {service:g}')
def report(context, entry, name, service):
    report_charged(context, entry, name, service, 0)


@step('peer {entry} reports {name} at {service:g} with {more:g} charged')
def report_charged(context, entry, name, service, more):
    served = service - context.services.get(entry, service)
    context.services[entry] = service
    level = context.ledger.account(name).settled_service + served
    row = ServiceRow(name, service, 0, 0, level, more)
    context.ledger.apply_report(
        context.now,
        ServiceReport(entry, 'first', 'ice-llm', (row,)),
    )
    if context.first_tag is None:
        context.first_tag = context.ledger.tag(name)


@given(
    '{name} runs a request of cost {cost:g} while no other request waits',
)
def run_request(context, name, cost):
    context.ledger.charge(context.now, 'one', name, cost, 1)
    context.ledger.settle(context.now, 'one', cost)


@step('{name} waits')
def wait(context, name):
    context.ledger.set_waiting(context.now, name, 1)


@when('peer {entry} disconnects')
def disconnect(context, entry):
    context.ledger.remove_peer(entry)


@when('a side reports virtual time {time:g}')
def adopt(context, time):
    context.ledger.adopt_virtual_time(time)


@when('{name} starts a request estimated at {estimate:g}')
def start(context, name, estimate):
    context.ledger.charge(context.now, 'one', name, estimate, 1)


@when('its cost so far is {cost:g}')
def progress(context, cost):
    context.ledger.progress(context.now, 'one', cost)


@then('the tag of {name} rose by {rise:g} since the first report')
def check_rise(context, name, rise):
    found = context.ledger.tag(name) - context.first_tag
    assert abs(found - rise) < CLOSE, found


@then('the tag of {name} did not fall')
def check_fall(context, name):
    assert context.ledger.tag(name) >= context.first_tag


@then('the tag of {name} is {tag:g}')
def check_tag(context, name, tag):
    assert abs(context.ledger.tag(name) - tag) < CLOSE


@then('settling at {cost:g} leaves the tag of {name} at {tag:g}')
def check_settled(context, cost, name, tag):
    context.ledger.settle(context.now, 'one', cost)
    check_tag(context, name, tag)


@then('{name} is at most two mean costs below {other}')
def check_floor(context, name, other):
    gap = context.ledger.tag(other) - context.ledger.tag(name)
    assert -CLOSE <= gap <= context.ledger.charge_ahead + CLOSE, gap
