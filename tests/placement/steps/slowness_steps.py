"""Steps for plain servers that are slow now."""

from __future__ import annotations

import heapq
import math
from collections import Counter

from behave import given, then, when

from sardinetrack.placement.choice import rank_by_load
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.topology.servers import BackendServer

_SLOW = 's-0'


@given(
    '{count:d} servers without models, one of them slow by a factor of '
    '{factor:g}'
)
def open_plain(context, count, factor):
    context.servers = [
        BackendServer(
            f's-{one}', 'p', f'10.0.0.{one}', 80, 'a', 8, leaving=False
        )
        for one in range(count)
    ]
    context.loads = {one.instance: EstimatedLoad() for one in context.servers}
    context.factor = factor
    context.loads[_SLOW].report_slowness(0, factor)


def _order(context, now):
    found = rank_by_load(context.servers, context.loads, 'a', 1, now)
    return [one.server.instance for one in found]


@when(
    '{rate:d} requests a second that take {seconds:g} seconds each '
    'come for {duration:d} seconds'
)
def run_requests(context, rate, seconds, duration):
    context.sent = Counter()
    ends = []
    for number in range(rate * duration):
        now = number / rate
        while ends and ends[0][0] <= now:
            end, name = heapq.heappop(ends)
            context.loads[name].running -= 1
            context.loads[name].report_slowness(end, _slowness(context, name))
        name = _order(context, now)[0]
        context.sent[name] += 1
        context.loads[name].running += 1
        took = seconds * _slowness(context, name)
        heapq.heappush(ends, (now + took, name))


def _slowness(context, name):
    return context.factor if name == _SLOW else 1


@then(
    'the slow server got between {low:d} and {high:d} percent '
    'of what the others got'
)
def got_less(context, low, high):
    others = context.sent.total() - context.sent[_SLOW]
    mean = others / (len(context.servers) - 1)
    assert low <= 100 * context.sent[_SLOW] / mean <= high, context.sent


@then('the slow server is the last')
def slow_last(context):
    assert _order(context, 0)[-1] == _SLOW


@then('it is before a server that runs {running:d} requests')
def slow_before_busy(context, running):
    context.loads['s-1'].running = running
    assert _order(context, 0) == ['s-2', _SLOW, 's-1']


@then('after {age:g} seconds its slowness is {factor:g}')
def slowness_after(context, age, factor):
    slowness = context.loads[_SLOW].slowness(age)
    assert math.isclose(slowness, factor), slowness


@when('that one runs {running:d} request')
def run_there(context, running):
    context.loads[_SLOW].running = running
