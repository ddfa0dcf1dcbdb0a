"""Steps for permits over the wire, on loopback."""

from __future__ import annotations

import asyncio
import os
from unittest.mock import Mock

from behave import given, then, when
from tests.support.loop_tasks import cancel_other_tasks
from tests.support.no_feeds import idle_watcher

from sardinetrack.logs.events import EventLog
from sardinetrack.messages.api import Strike
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prefix_index import PrefixCacheIndex
from sardinetrack.relay.crashes import STRIKE_TTL_SECONDS, CrashWatch
from sardinetrack.topology.cold import ColdEstimate
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.pool_versions import PoolVersions
from sardinetrack.topology.starts import ServerStart
from sardinetrack.turns.load_report import REPORT_INTERVAL_SECONDS
from sardinetrack.turns.messages import (
    Hello,
    PermitGranted,
    PermitRefused,
    PermitRequest,
    StrikesReported,
)
from sardinetrack.turns.refused import RefusedRequests
from sardinetrack.turns.side import SideServer
from sardinetrack.turns.side_connection import SideConnection
from sardinetrack.turns.side_state import RestartListener, SideState
from sardinetrack.views.api import NullViewReceiver

_IP = '127.0.0.1'


class _ReceivedStarts(RestartListener):
    """The starts that an entry received from its side."""

    def __init__(self):
        self.starts = []

    def started(self, start):
        self.starts.append(start.started_milliseconds)


class _Entry:
    """One entry's connection to the side."""

    def __init__(self, name, slots):
        self.prefix_index = PrefixCacheIndex()
        self.load = EstimatedLoad()
        self.crashes = CrashWatch(Mock())
        self.received = _ReceivedStarts()
        self.state = SideState(
            self.load,
            self.prefix_index,
            NullViewReceiver(),
            self.crashes,
            self.crashes.quarantine,
            self.received,
            PoolVersions(),
        )
        self.connection = SideConnection(
            Hello(name, slots, 100_000),
            self.state,
            _IP,
        )
        self.name = name
        self.requests = []

    def request(self, tokens, part='', others=()):
        request = PermitRequest(
            f'{self.name}.{len(self.requests)}',
            self.name,
            tokens,
            100,
            50,
            2,
            0,
            0,
            part,
            2,
            others,
        )
        task = asyncio.ensure_future(self.connection.request_permit(request, 3))
        self.requests.append((request.permit_id, task))
        return task


@given('a side and {count:d} entries')
def open_side(context, count):
    open_sized(context, 8, count)


@given('a side of {slots:d} slot and {count:d} entries')
@given('a side of {slots:d} slots and {count:d} entries')
def open_sized(context, slots, count):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context)
    pipe = os.pipe()
    os.set_blocking(pipe[0], False)
    context.log = EventLog(pipe[1], 'side-1')
    watcher = idle_watcher(context.log)
    context.side = SideServer((_IP, 0), watcher, context.log)
    _run(context, _open(context, slots, count))


async def _open(context, slots, count):
    await context.side.__aenter__()
    loop = asyncio.get_running_loop()
    context.entries = [_Entry(f'e{one}', slots) for one in range(1, count + 1)]
    for entry in context.entries:
        await loop.create_connection(
            lambda entry=entry: entry.connection,
            _IP,
            context.side.port,
        )
    await asyncio.sleep(0.05)


def _close(context):
    async def close():
        await context.side.__aexit__(None, None, None)
        await cancel_other_tasks()

    _run(context, close())
    context.loop.close()


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _entry(context, number):
    return context.entries[number - 1]


async def _settle():
    await asyncio.sleep(0.05)


@when('entry {number:d} requests a permit for {tokens:d} tokens')
def request_permit(context, number, tokens):
    async def act():
        _entry(context, number).request(tokens)
        await _settle()

    _run(context, act())


@when(
    'entry {number:d} is granted a permit for a prompt '
    'with shared prefix {prefix}',
)
def request_with_prefix(context, number, prefix):
    async def act():
        await _entry(context, number).request(5000, prefix)

    _run(context, act())


@when(
    'entry {number:d} is granted a permit and reports {tokens:d} tokens '
    'served to e{other:d}',
)
def request_and_report(context, number, tokens, other):
    async def act():
        await _entry(context, number).request(100, '', ((f'e{other}', tokens),))

    _run(context, act())


@then('entry {first:d} is granted a permit before entry {second:d}')
def granted_before(context, first, second):
    async def act():
        permit_id, task = _entry(context, 1).requests[0]
        assert isinstance(await task, PermitGranted)
        _entry(context, 1).connection.ended(permit_id)
        await _settle()
        tasks = [_entry(context, one).requests[0][1] for one in (first, second)]
        assert [task.done() for task in tasks] == [True, False], tasks

    _run(context, act())


@when('entry {number:d} disconnects')
def disconnect(context, number):
    async def act():
        _entry(context, number).connection.abort()
        await _settle()

    _run(context, act())


@when('the caller of a request that waits at entry {number:d} disconnects')
def cancel_request(context, number):
    async def act():
        task = _entry(context, number).request(5000)
        await _settle()
        task.cancel()
        await _settle()

    _run(context, act())


@when('the side stops while entry {number:d} waits')
def stop_side(context, number):
    async def act():
        task = _entry(context, number).request(5000)
        await _settle()
        began = asyncio.get_running_loop().time()
        await context.side.__aexit__(None, None, None)
        context.response = await task
        context.took_seconds = asyncio.get_running_loop().time() - began

    _run(context, act())


@when('the side stops sending reports')
def stop_reports(context):
    context.side._report_task.cancel()  # noqa: SLF001


@when('entry {number:d} reports strikes of one request at {count:d} servers')
def report_strikes(context, number, count):
    async def act():
        strikes = tuple(
            Strike('f1', f'i-{one}', STRIKE_TTL_SECONDS) for one in range(count)
        )
        _entry(context, number).connection.send(StrikesReported(strikes))
        await _settle()

    _run(context, act())


@when('another entry connects')
def connect_another(context):
    async def act():
        entry = _Entry('late', 8)
        context.entries.append(entry)
        await asyncio.get_running_loop().create_connection(
            lambda: entry.connection,
            _IP,
            context.side.port,
        )
        await _settle()

    _run(context, act())


@then('entry {number:d} has strikes at {count:d} servers')
def has_strikes(context, number, count):
    async def read():
        now = asyncio.get_running_loop().time()
        return _entry(context, number).crashes.strike_registry.count(now, 'f1')

    assert _run(context, read()) == count


@when('the side receives a line that is not a valid message')
def send_invalid_line(context):
    async def act():
        reader, writer = await asyncio.open_connection(
            _IP,
            context.side.port,
        )
        writer.write(b'["ask",7]\n')
        try:
            context.closed = not await asyncio.wait_for(reader.read(), 1)
        except ConnectionResetError:
            context.closed = True
        writer.close()

    _run(context, act())


@then('entry {number:d} is granted the permit')
def is_granted(context, number):
    task = _entry(context, number).requests[-1][1]
    response = _run(context, asyncio.wait_for(task, 1))
    assert isinstance(response, PermitGranted), response


@then('entry {second:d} waits until entry {first:d} releases its permit')
def waits(context, second, first):
    async def act():
        assert not _entry(context, second).requests[-1][1].done()
        releasing = _entry(context, first)
        releasing.connection.ended(releasing.requests[-1][0])

    _run(context, act())
    is_granted(context, second)


@then('the side has {running:d} running request and none waiting')
def has_requests(context, running):
    admission = context.side.admission
    assert (admission.running, admission.waiting) == (running, 0)


@then(
    'the request of entry {number:d} ends without a response '
    'within {seconds:g} seconds',
)
def ends_without_response(context, number, seconds):
    assert context.response is None
    assert context.took_seconds < seconds


@then(
    'entry {number:d} counts it as disconnected within {seconds:g} seconds',
)
def counts_as_disconnected(context, number, seconds):
    lines = _entry(context, number).connection
    _run(context, asyncio.wait_for(lines.wait_disconnected(), seconds))
    assert not _run(context, _live(lines))


async def _live(lines):
    return lines.live


def _servers_with(context, number, seconds, prefix):
    async def act():
        await asyncio.sleep(seconds)
        now = asyncio.get_running_loop().time()
        return _entry(context, number).prefix_index.servers_with(now, prefix)

    return _run(context, act())


@then(
    'entry {number:d} records within {seconds:g} seconds'
    ' that the server caches {prefix}',
)
def records_prefix(context, number, seconds, prefix):
    assert _IP in _servers_with(context, number, seconds, prefix)


@then('each entry records that {count:d} entries are connected')
def records_count(context, count):
    assert all(one.connection.entries == count for one in context.entries)


@then('the side closes that connection and serves the others')
def serves_others(context):
    assert context.closed
    request_permit(context, 1, 100)
    is_granted(context, 1)


@given(
    'all entries list the engine as started at {started:d} '
    'with revision {revision:d}',
)
def list_start_everywhere(context, started, revision):
    for number in range(1, len(context.entries) + 1):
        list_start(context, number, started, revision)


@when(
    'entry {number:d} lists the engine as started at {started:d} '
    'with revision {revision:d}',
)
def list_start(context, number, started, revision):
    async def act():
        entry = _entry(context, number)
        entry.state.start = ServerStart('i-1', started, revision)
        entry.connection.send(entry.state.start_message(entry.state.start))
        await _settle()

    _run(context, act())


@when(
    'entry {number:d} lists the engine as started at {started:d} '
    'with revision {revision:d}, and its side does not',
)
def list_start_locally(context, number, started, revision):
    start = ServerStart('i-1', started, revision)
    _entry(context, number).state.start = start


@then("entry {number:d} receives the engine's start at {started:d}")
def receives_start(context, number, started):
    received = _entry(context, number).received.starts
    assert received == [started], received


@then(
    'entry {number:d} does not record within {seconds:g} seconds'
    ' that the server caches {prefix}',
)
def records_no_prefix(context, number, seconds, prefix):
    assert not _servers_with(context, number, seconds, prefix)


@when('entry {number:d} requests {count:d} permits for {tokens:d} tokens each')
def request_permits(context, number, count, tokens):
    async def act():
        entry = _entry(context, number)
        context.waiting = [entry.request(tokens) for _ in range(count)]
        await _settle()

    _run(context, act())


@when(
    'entry {number:d} lists the engine as started at {started:d} with '
    'revision {revision:d}, cold for {seconds:g} seconds at {rate:g} a second',
)
@when(
    'entry {number:d} lists the engine as started at {started:d} with '
    'revision {revision:d}, cold for {seconds:g} second at {rate:g} a second',
)
def list_cold_start(context, number, started, revision, seconds, rate):
    async def act():
        state = _entry(context, number).state
        until_seconds = boot_clock() + seconds
        state.cold = ColdEstimate(until_seconds, per_second=rate)

    _run(context, act())
    list_start(context, number, started, revision)


@when('{seconds:g} seconds pass')
def pass_time(context, seconds):
    _run(context, asyncio.sleep(seconds))


@then('at most {most:d} of these are granted within {seconds:g} second')
@then('at most {most:d} of these are granted within {seconds:g} seconds')
def few_granted(context, most, seconds):
    _run(context, asyncio.sleep(seconds))
    running = context.side.admission.running
    assert 0 < running <= most, running


def _cold_seconds(context):
    now = context.loop.time()
    return context.side.engine_starts.cold.left_seconds(now)


@then('the side counts the engine as cold for at most {seconds:g} seconds')
def cold_for_less(context, seconds):
    assert _cold_seconds(context) <= seconds


@then('the side counts the engine as cold for at least {seconds:g} seconds')
def cold_for_longer(context, seconds):
    assert _cold_seconds(context) >= seconds


@then(
    'the side counts {starts:d} consecutive starts '
    'and {permits:d} permits in the last second',
)
def counts_starts(context, starts, permits):
    assert context.side.engine_starts.consecutive_cold_starts == starts
    assert context.side.engine_starts.permits_last_second == permits


@then('at least {least:d} of these are granted immediately')
def all_granted(context, least):
    assert context.side.admission.running >= least


@when(
    'entry {number:d} requests a permit for caller {caller:d} and is refused',
)
def request_for_caller(context, number, caller):
    async def act():
        entry = _entry(context, number)
        request = PermitRequest(
            f'{entry.name}.as-{caller}-{len(entry.requests)}',
            'w',
            100,
            100,
            50,
            0.05,
            0,
            0,
            '',
            1,
            fingerprint=f'c{caller}',
        )
        context.refusal = await entry.connection.request_permit(request, 3)
        assert isinstance(context.refusal, PermitRefused), context.refusal

    _run(context, act())


@then(
    'entry 2 receives that caller 7 was refused before, '
    '{seconds:g} seconds ago',
)
def received_refusal(context, seconds):
    received = context.refusal.since_refusal_seconds
    assert seconds <= received < seconds + 0.2, received


@then('another caller was not refused before')
def not_refused_before(context):
    request_for_caller(context, 2, 8)
    assert not context.refusal.since_refusal_seconds


@when('{count:d} different callers are refused')
def refuse_many(context, count):
    context.refused = RefusedRequests()
    for caller in range(1, count + 1):
        context.refused.record(0, f'c{caller}')


@then('the side remembers at most {most:d} of them')
def remembers(context, most):
    known = [
        caller
        for caller in range(1, 30_001)
        if context.refused.waited_seconds(1, f'c{caller}') > 0
    ]
    assert len(known) <= most
    assert known[-1] == 30_000


def _handled(context, caller, due, known):
    """Return the request that a side passes to its admission."""
    handled = []
    side = context.side

    async def act():
        message = PermitRequest(
            'probe',
            'w',
            100,
            100,
            50,
            0,
            0,
            0,
            '',
            due,
            fingerprint=f'c{caller}',
            since_refusal_seconds=known,
        )
        request = side.request
        side.request = handled.append
        try:
            side.handle_request(
                next(iter(side.entry_connections)),  # noqa: SLF001
                message,
            )
        finally:
            side.request = request

    _run(context, act())
    return handled[0]


@then(
    'a request of caller {caller:d} that is due in {due:g} seconds'
    ' and reports a refusal {known:g} seconds ago is not late',
)
def still_in_time(context, caller, due, known):
    assert not _handled(context, caller, due, known).is_past_objective


@then(
    'a request of caller {caller:d} that is due in {due:g} seconds'
    ' and reports no refusal is late',
)
def late_by_side(context, caller, due):
    assert _handled(context, caller, due, 0).is_past_objective


@when('the side has sent its first load report')
def first_report(context):
    _run(context, asyncio.sleep(REPORT_INTERVAL_SECONDS + 0.1))


@when('the side has run for {seconds:g} seconds')
def run_side(context, seconds):
    _run(context, asyncio.sleep(seconds))


@then('no entry knows how many entries there are')
def entries_unknown(context):
    assert {entry.connection.entries for entry in context.entries} == {0}
