"""Steps for the polls of an engine, on loopback."""

from __future__ import annotations

import asyncio
import json
import os
from unittest.mock import patch

from behave import given, then, when
from tests.support.fake_engine import FakeEngine
from tests.support.no_feeds import idle_watcher

from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.admission.request import AdmissionRequest
from sardinetrack.logs.events import EventLog
from sardinetrack.placement.step_pace import StepPace
from sardinetrack.platform.engine_report import REPORT_PATH, decode_report
from sardinetrack.process import owner_tasks
from sardinetrack.relay.metrics import render_metrics, side_metrics
from sardinetrack.store.api import StoreCounters
from sardinetrack.turns.engine_monitor import EngineSource
from sardinetrack.turns.messages import DECODE_FROM_SIDE
from sardinetrack.turns.side import SideServer

_IP = '127.0.0.1'
_PAST_ANY_BACKOFF_SECONDS = 1.5


@given('a side that polls its engine')
def open_polling(context):
    context.engine = FakeEngine()
    _open(context, polls=True)


@given("a side without an engine's address")
def open_without_engine(context):
    context.engine = FakeEngine()
    _open(context, polls=False)


def _open(context, *, polls):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context)
    context.faults = []
    context.loop.set_exception_handler(
        lambda _, fault: context.faults.append(fault)
    )
    context.pipe = os.pipe()
    os.set_blocking(context.pipe[0], False)
    context.log = EventLog(context.pipe[1], 'side-1')
    context.observed = []
    _run(context, _start(context, polls))


async def _start(context, polls):
    await context.engine.listen()
    source = EngineSource(
        (_IP, context.engine.port), REPORT_PATH, decode_report
    )
    watcher = idle_watcher(context.log)
    context.side = SideServer(
        (_IP, 0), watcher, context.log, source if polls else None
    )
    _record_calls(context)
    await context.side.__aenter__()
    await asyncio.sleep(0.1)


def _record_calls(context):
    """Record what the admission is told, in order."""
    admission = context.side.admission
    stream_pace = admission._spacing.stream_pace  # noqa: SLF001
    observe, reset = admission.observe_engine, stream_pace.reset

    def recording_observe(now, report):
        decisions = observe(now, report)
        context.observed.append(report)
        return decisions

    def recording_reset():
        context.observed.append('reset')
        reset()

    admission.observe_engine = recording_observe
    stream_pace.reset = recording_reset


def _close(context):
    async def close():
        await context.side.__aexit__(None, None, None)
        context.engine.stop()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        await asyncio.wait_for(asyncio.gather(*rest, return_exceptions=True), 1)

    _run(context, close())
    context.loop.close()


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def _until(is_true, seconds=_PAST_ANY_BACKOFF_SECONDS):
    async with asyncio.timeout(seconds):
        done = is_true()
        while not done:
            await asyncio.sleep(0.01)
            done = is_true()


def _polls(context, outcome):
    return context.side.monitor.polls[outcome]


@when('{seconds:g} seconds pass with polls')
def pass_time(context, seconds):
    context.requests_before = context.engine.requests
    _run(context, asyncio.sleep(seconds))


@when('the engine sends {fault} in {count:d} poll')
def send_fault(context, fault, count):
    context.engine.faults.extend(fault for _ in range(count))
    _run(context, _until(lambda: not context.engine.faults))
    _run(context, asyncio.sleep(0.45))


@when('the engine sends {fault} in every other of {count:d} polls')
def send_every_other(context, fault, count):
    for _ in range(count // 2):
        context.engine.faults.extend((fault, ''))
    _run(context, _until(lambda: not context.engine.faults, 5))


@when('the engine sends {fault} in its next poll')
def send_next(context, fault):
    context.engine.faults.append(fault)
    _run(context, _until(lambda: not context.engine.faults))


@when('the engine stops for {seconds:g} seconds')
def stop_engine(context, seconds):
    async def act():
        context.engine.stop()
        await asyncio.sleep(seconds)
        await context.engine.listen()

    _run(context, act())


@when('the engine runs nothing')
def run_nothing(context):
    context.engine.state.update(active=0, runs=[])
    _run(context, asyncio.sleep(0.1))


@when('the engine has restarted')
def restart_engine(context):
    context.engine.state['born'] = 90
    _run(context, asyncio.sleep(0.3))


@when('the engine reports no start for {count:d} polls')
def report_no_start(context, count):
    born = context.engine.state.pop('born')
    before = context.engine.requests
    _run(context, _until(lambda: context.engine.requests >= before + count))
    context.engine.state['born'] = born
    _run(context, asyncio.sleep(0.2))


@when('a request gets a permit')
def permit_granted(context):
    async def act():
        request = AdmissionRequest('q1', 'w1', 500, 600, 50, 2, 0, 'e1')
        with patch.object(context.side, 'deliver'):
            context.side.request(request)

    _run(context, act())
    assert context.side.admission.running == 1


@when('the side ends')
def end_side(context):
    _run(context, context.side.__aexit__(None, None, None))
    context.requests_before = context.engine.requests


@when('the admission raises an error on a report')
def raise_error(context):
    fault = patch.object(
        context.side.admission, 'observe_engine', side_effect=KeyError('r1')
    )
    # Outlasts the next report of the side, also on a busy machine.
    pause = patch.object(owner_tasks, 'PAUSE_SECONDS', 2.0)
    with fault, pause:
        _run(context, asyncio.sleep(0.3))


@then('the admission has received at least {count:d} reports of 1 run')
def has_received(context, count):
    runs = [len(report.runs) for report in context.observed]
    assert len(runs) >= count, runs
    assert set(runs) == {1}, runs


@then('the engine has accepted {count:d} connection')
@then('the engine has accepted {count:d} connections')
def has_accepted(context, count):
    assert context.engine.opened == count, context.engine.opened


@then('{count:d} poll is counted as {outcome}')
@then('{count:d} polls are counted as {outcome}')
def is_counted(context, count, outcome):
    assert _polls(context, outcome) == count, context.side.monitor.polls


@then('at least {count:d} polls are counted as {outcome}')
def are_counted(context, count, outcome):
    assert _polls(context, outcome) >= count, context.side.monitor.polls


@then('further reports reach the admission')
def further_reports(context):
    received = len(context.observed)
    _run(context, _until(lambda: len(context.observed) > received + 1))


@then('no report that arrived too late reached the admission')
def none_late(context):
    assert {report.queued for report in context.observed} == {0}


@then("the log has 1 line on the engine's silence and 1 on its return")
def has_lines(context):
    context.log.flush()
    lines = os.read(context.pipe[0], 1_000_000).splitlines()
    events = [json.loads(line)['event'] for line in lines]
    assert events.count('engine_silent') == 1, events
    assert events.count('engine_heard') == 1, events


@then('the engine has been polled at most {count:d} times since')
def polled_at_most(context, count):
    polls = context.engine.requests - context.requests_before
    assert 0 < polls <= count, polls


@then(
    'the pace was reset 1 time, before the first report of the new start',
)
def reset_before_report(context):
    at = context.observed.index('reset')
    assert context.observed.count('reset') == 1
    starts = [
        {one.started_milliseconds for one in part}
        for part in (context.observed[:at], context.observed[at + 1 :])
    ]
    assert starts == [{100}, {90}], starts


@then('the pace was reset 0 times')
def not_reset(context):
    assert None in {one.started_milliseconds for one in context.observed}
    assert 'reset' not in context.observed


@then('1 request still has its permit')
def still_has_permit(context):
    assert context.side.admission.running == 1


@then(
    'the engine has no connection within {seconds:g} seconds '
    'and gets no more polls',
)
def has_no_connection(context, seconds):
    _run(context, _until(lambda: not context.engine.writers, seconds))
    _run(context, asyncio.sleep(0.2))
    assert context.engine.requests == context.requests_before


@then('the fault is logged once, polls pause and the side sends reports')
def fault_logged(context):
    context.log.flush()
    lines = os.read(context.pipe[0], 1_000_000).splitlines()
    events = [json.loads(line) for line in lines]
    faults = [one for one in events if one['event'] == 'fault']
    assert [one['cause'] for one in faults] == ["KeyError('r1')"], faults
    assert not context.faults, context.faults
    context.requests_before = context.engine.requests
    assert _run(context, _next_report(context))
    assert context.engine.requests == context.requests_before


@then('the polls go on')
def polls_go_on(context):
    observed = len(context.observed)
    _run(context, _until(lambda: len(context.observed) > observed, 5))
    assert context.engine.requests > context.requests_before


async def _next_report(context):
    reader, writer = await asyncio.open_connection(_IP, context.side.port)
    try:
        return DECODE_FROM_SIDE(await asyncio.wait_for(reader.readline(), 1))
    finally:
        writer.close()


@then(
    'a pace of {tokens:g} tokens, {decode:g} and {prefill:g} seconds '
    'is sent with {streams:d} stream',
)
@then(
    'a pace of {tokens:g} tokens, {decode:g} and {prefill:g} seconds '
    'is sent with {streams:d} streams',
)
def pace_is_sent(context, tokens, decode, prefill, streams):
    pace = StepPace(tokens, decode, prefill)
    patched = patch.object(PrefillAdmission, 'step_pace', lambda *_: pace)
    patched.start()
    context.add_cleanup(patched.stop)
    report = _run(context, _next_report(context))
    assert (
        report.event_tokens,
        report.decode_step_seconds,
        report.prefill_step_seconds,
        report.streams,
    ) == (tokens, decode, prefill, streams), report


def _page(context):
    async def render():
        return render_metrics(
            lambda: side_metrics(context.side, StoreCounters())
        )

    return _run(context, render()).decode()


@then('the page of metrics has the pace, 1 stream and the polls')
def page_has_pace(context):
    page = _page(context)
    reports = _polls(context, 'report')
    for line in (
        'event_tokens 6.0',
        'decode_step_seconds 0.0055',
        'prefill_step_seconds 0.058',
        'streams 1.0',
        f'engine_polls_total{{by="report"}} {float(reports)}',
    ):
        assert f'\nsardinetrack_{line}\n' in page, page


@then('nothing is polled and no poll is on its page of metrics')
def nothing_polled(context):
    assert context.side.monitor is None
    assert context.engine.opened == 0
    assert 'engine_polls_total{' not in _page(context)
