"""Steps for the order of servers that one request tries."""

from __future__ import annotations

from behave import given, then, when

from sardinetrack.placement.choice import Candidate
from sardinetrack.relay.candidate_order import CandidateOrder
from sardinetrack.topology.servers import BackendServer

_MAX_WAIT_SECONDS = 0.5


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


@given('{count:d} servers that report free capacity')
def open_order(context, count):
    context.now = 100
    context.found = [_candidate(number) for number in range(count)]
    context.recomputed = 0
    context.tried = []

    def rank():
        context.recomputed += 1
        return list(context.found)

    context.order = CandidateOrder(context.found, rank, lambda: context.now)


@when('a request tries {count:d} of them within {seconds:g} seconds')
def try_some(context, count, seconds):
    for _ in range(count):
        best = context.order.best(_MAX_WAIT_SECONDS)
        context.order.mark_tried(best)
        context.tried.append(best.server.instance)
        context.now += seconds / count


@when('a request has waited for {seconds:g} seconds at the first')
def wait_first(context, seconds):
    context.order.mark_tried(context.found[0])
    context.now += seconds


@when('the second has a queue of {seconds:g} seconds now')
def load_second(context, seconds):
    context.found[1].wait_seconds = seconds


@then('each was tried once, the best first')
def tried_once(context):
    expected = [one.server.instance for one in context.found[:4]]
    assert context.tried == expected, context.tried


@then('the third is the next best')
def third_next(context):
    assert context.order.best(_MAX_WAIT_SECONDS) is context.found[2]


@then('their order was computed {count:d} more time')
@then('their order was computed {count:d} more times')
def recomputed(context, count):
    assert context.recomputed == count, context.recomputed
