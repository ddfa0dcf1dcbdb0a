"""Steps for the evidence on parts of prompts."""

from __future__ import annotations

from random import Random

from behave import then, when

from sardinetrack.quarantine.api import PartStatus
from sardinetrack.quarantine.registry import PartRegistry

_PART = 'part'
_EVENT_SECONDS = 0.5


class _History:
    """What happens to one part, as the process that sees it records it."""

    def __init__(self):
        self.registry = PartRegistry()
        self.now = 1000.0

    def apply(self, event):
        self.now += _EVENT_SECONDS
        record = self.registry.record(self.now, _PART)
        if event == 'response':
            record.add_response(self.now)
            return
        known = record.crashes_in_a_row
        for _ in range(3 if event == '3 crashes at once' else 1):
            record.add_crash(self.now, known + 1)

    @property
    def status(self):
        return self.registry.status(self.now, _PART)


@when('these things happen to a part: {events}')
def happen(context, events):
    context.history = _History()
    for event in events.split(', '):
        context.history.apply(event)


@then('its status is {status}')
def has_status(context, status):
    assert context.history.status is PartStatus(status), context.history.status


@when('a part has {crashes:d} crashes in a row')
def crash_often(context, crashes):
    happen(context, ', '.join('crash' for _ in range(crashes)))


@then('it is blocked for {seconds:d} seconds, and suspected after that')
def blocked_for(context, seconds):
    history = context.history
    history.now += seconds - 1
    assert history.status is PartStatus.BLOCKED, history.status
    history.now += 2
    assert history.status is PartStatus.SUSPECT, history.status
    history.registry.reports(history.now)
    assert history.registry.crashes_in_a_row(_PART), 'forgotten with its block'


@when(
    '{count:d} seeded histories are reported to {processes:d} processes in'
    ' different orders'
)
def report_histories(context, count, processes):
    context.statuses = []
    for seed in range(count):
        rng = Random(seed)
        history = _History()
        reports = []
        for _ in range(rng.randrange(1, 12)):
            history.apply(rng.choice(('crash', 'crash', 'response')))
            reports.append((history.now, history.registry.reports(history.now)))
        statuses = set()
        for _ in range(processes):
            registry = PartRegistry()
            rng.shuffle(reports)
            for sent_seconds, report in reports:
                registry.merge(sent_seconds, report)
            statuses.add(registry.status(history.now, _PART))
        context.statuses.append(statuses | {history.status})


@then('all processes give each part one status')
def one_status(context):
    differing = [one for one in context.statuses if len(one) > 1]
    assert not differing, differing
