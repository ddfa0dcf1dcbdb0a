"""Steps for the servers that one request may ask."""

from __future__ import annotations

from behave import given, then, when

from sardinetrack.placement.choice import Candidate
from sardinetrack.relay.offers import Offers
from sardinetrack.topology.servers import BackendServer

_PATIENCE_SECONDS = 0.5


def _candidate(number):
    server = BackendServer(
        f'i-{number}',
        'models',
        f'10.0.0.{number}',
        80,
        'galata',
        12,
        leaving=False,
    )
    return Candidate(server, 0, number, 1000)


@given('{count:d} servers that tell of room')
def open_offers(context, count):
    context.now = 100
    context.found = [_candidate(number) for number in range(count)]
    context.renewed = 0
    context.asked = []

    def find():
        context.renewed += 1
        return list(context.found)

    context.offers = Offers(context.found, find, lambda: context.now)


@when('a request asks {count:d} of them within {seconds:g} seconds')
def ask_some(context, count, seconds):
    for _ in range(count):
        best = context.offers.best(_PATIENCE_SECONDS)
        context.offers.ask(best)
        context.asked.append(best.server.instance)
        context.now += seconds / count


@when('a request has waited for {seconds:g} seconds at the first')
def wait_first(context, seconds):
    context.offers.ask(context.found[0])
    context.now += seconds


@when('the second has {seconds:g} seconds to read by now')
def load_second(context, seconds):
    context.found[1].wait_seconds = seconds


@then('each was asked once, the best first')
def asked_once(context):
    expected = [one.server.instance for one in context.found[:4]]
    assert context.asked == expected, context.asked


@then('the third is the next best')
def third_next(context):
    assert context.offers.best(_PATIENCE_SECONDS) is context.found[2]


@then('their order was worked out {count:d} time more')
@then('their order was worked out {count:d} times more')
def renewed(context, count):
    assert context.renewed == count, context.renewed
