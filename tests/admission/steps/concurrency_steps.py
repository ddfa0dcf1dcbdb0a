"""Steps for the learned concurrency."""

from __future__ import annotations

from collections import deque
from random import Random

from behave import given, then, when

from sardinetrack.admission.concurrency import ConcurrencyLearner, ServerLoad

LAG_SECONDS = 2
REPORTS_PER_SECOND = 2
LAST_PART = 0.5


@given('a server whose throughput stops growing at {knee:d} requests')
def start_server(context, knee):
    context.knee = knee
    context.queues = False


@given('it queues what is above')
def queue_above(context):
    context.queues = True


@given('a first guess of {first:d} slots')
def guess(context, first):
    context.learner = ConcurrencyLearner(first, LAG_SECONDS)


@when('it is kept busy for {seconds:d} seconds')
def keep_busy(context, seconds):
    random = Random(7)
    reports = range(LAG_SECONDS * REPORTS_PER_SECOND)
    limits = deque(context.learner.limit for _ in reports)
    context.limits = []
    for count in range(seconds * REPORTS_PER_SECOND):
        running = limits.popleft()
        queued = max(0, running - context.knee) if context.queues else 0
        rate = min(running, context.knee) * random.uniform(0.95, 1.05)
        load = ServerLoad(running - queued, queued, rate)
        now = count / REPORTS_PER_SECOND
        limits.append(context.learner.report(now, load))
        context.limits.append(context.learner.limit)


@then('the limit stays between {low:d} and {high:d} at the end')
def check_limit(context, low, high):
    last = context.limits[int(len(context.limits) * LAST_PART) :]
    assert low <= min(last), min(last)
    assert max(last) <= high, max(last)


@then('{part:g} percent of its throughput is used in the second half')
def check_used(context, part):
    last = context.limits[int(len(context.limits) * LAST_PART) :]
    used = sum(min(limit, context.knee) for limit in last)
    assert 100 * used >= part * context.knee * len(last), used


@then('{part:g} percent of its slots at most are taken beyond the knee')
def check_beyond(context, part):
    last = context.limits[int(len(context.limits) * LAST_PART) :]
    beyond = sum(max(0, limit - context.knee) for limit in last)
    assert 100 * beyond <= part * context.knee * len(last), beyond
