"""Steps for the adaptive concurrency limit."""

from __future__ import annotations

from collections import deque
from random import Random

from behave import given, then, when

from sardinetrack.admission.concurrency import (
    AdaptiveConcurrencyLimit,
    ServerLoadReport,
)

LAG_SECONDS = 2
REPORTS_PER_SECOND = 2
SECOND_HALF = 0.5


@given('a server whose throughput stops growing at {knee:d} requests')
def start_server(context, knee):
    context.knee = knee
    context.queues = False


@given('it queues further requests')
def queue_further(context):
    context.queues = True


@given('an initial limit of {initial:d} slots')
def set_initial(context, initial):
    context.adaptive = AdaptiveConcurrencyLimit(initial, LAG_SECONDS)


@when('it is kept busy for {seconds:d} seconds')
def keep_busy(context, seconds):
    rng = Random(7)
    reports = range(LAG_SECONDS * REPORTS_PER_SECOND)
    limits = deque(context.adaptive.limit for _ in reports)
    context.limits = []
    for count in range(seconds * REPORTS_PER_SECOND):
        running = limits.popleft()
        queued = max(0, running - context.knee) if context.queues else 0
        rate = min(running, context.knee) * rng.uniform(0.95, 1.05)
        load = ServerLoadReport(running - queued, queued, rate)
        now = count / REPORTS_PER_SECOND
        limits.append(context.adaptive.report(now, load))
        context.limits.append(context.adaptive.limit)


@then('the limit stays between {low:d} and {high:d} at the end')
def check_limit(context, low, high):
    last = context.limits[int(len(context.limits) * SECOND_HALF) :]
    assert low <= min(last), min(last)
    assert max(last) <= high, max(last)


@then('{percent:g} percent of its throughput is used in the second half')
def check_used(context, percent):
    last = context.limits[int(len(context.limits) * SECOND_HALF) :]
    used = sum(min(limit, context.knee) for limit in last)
    assert 100 * used >= percent * context.knee * len(last), used


@then('at most {percent:g} percent of its slots are used beyond the knee')
def check_beyond(context, percent):
    last = context.limits[int(len(context.limits) * SECOND_HALF) :]
    beyond = sum(max(0, limit - context.knee) for limit in last)
    assert 100 * beyond <= percent * context.knee * len(last), beyond
