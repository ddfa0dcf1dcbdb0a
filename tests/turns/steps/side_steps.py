"""Steps for turns over the wire, on loopback."""

from __future__ import annotations

import asyncio
import os

from behave import given, then, when

from sardinetrack.logs.events import EventLog
from sardinetrack.messages.api import Strike
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.crashes import STRIKE_SECONDS, CrashWatch
from sardinetrack.topology.cold import ColdWord
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.starts import ServerStart
from sardinetrack.turns.entry import Beliefs, Restarts, SideLines
from sardinetrack.turns.messages import (
    AskTurn,
    Hello,
    Struck,
    TurnGranted,
    TurnRefused,
)
from sardinetrack.turns.refused import RefusedRequests
from sardinetrack.turns.side import Side
from sardinetrack.views.api import NoInbox
from sardinetrack.views.watcher import Feeds, Watcher

_IP = '127.0.0.1'


class NoFeeds(Feeds):
    """No store is watched here."""

    def open(self, mirrors):
        return []


class _Heard(Restarts):
    """The starts that an entry was told."""

    def __init__(self):
        self.starts = []

    def started(self, start):
        self.starts.append(start.started_milliseconds)


class _Entry:
    """One entry's line to the side."""

    def __init__(self, name, slots):
        self.holdings = Holdings()
        self.load = ServerLoad()
        self.crashes = CrashWatch()
        self.heard = _Heard()
        self.beliefs = Beliefs(
            self.load,
            self.holdings,
            NoInbox(),
            self.crashes,
            self.heard,
        )
        self.lines = SideLines(
            Hello(name, slots, 100_000),
            self.beliefs,
            _IP,
        )
        self.name = name
        self.asks = []

    def ask(self, tokens, part='', others=()):
        ask = AskTurn(
            f'{self.name}.{len(self.asks)}',
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
        task = asyncio.ensure_future(self.lines.ask(ask, 3))
        self.asks.append((ask.ask_id, task))
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
    watcher = Watcher(NoFeeds(), (), context.log)
    context.side = Side((_IP, 0), watcher, context.log)
    _run(context, _open(context, slots, count))


async def _open(context, slots, count):
    await context.side.__aenter__()
    loop = asyncio.get_running_loop()
    context.entries = [_Entry(f'e{one}', slots) for one in range(1, count + 1)]
    for entry in context.entries:
        await loop.create_connection(
            lambda entry=entry: entry.lines,
            _IP,
            context.side.port,
        )
    await asyncio.sleep(0.05)


def _close(context):
    async def close():
        await context.side.__aexit__(None, None, None)
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    _run(context, close())
    context.loop.close()


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _entry(context, number):
    return context.entries[number - 1]


async def _settle():
    await asyncio.sleep(0.05)


@when('entry {number:d} asks for {tokens:d} tokens')
def ask(context, number, tokens):
    async def act():
        _entry(context, number).ask(tokens)
        await _settle()

    _run(context, act())


@when('entry {number:d} is granted a prompt with shared part {part}')
def ask_with_part(context, number, part):
    async def act():
        await _entry(context, number).ask(5000, part)

    _run(context, act())


@when(
    'entry {number:d} is granted a turn and tells {tokens:d} served '
    'to e{other:d}',
)
def ask_and_tell(context, number, tokens, other):
    async def act():
        await _entry(context, number).ask(100, '', ((f'e{other}', tokens),))

    _run(context, act())


@then('entry {first:d} is granted before entry {second:d}')
def granted_before(context, first, second):
    async def act():
        holder, task = _entry(context, 1).asks[0]
        assert isinstance(await task, TurnGranted)
        _entry(context, 1).lines.ended(holder)
        await _settle()
        tasks = [_entry(context, one).asks[0][1] for one in (first, second)]
        assert [task.done() for task in tasks] == [True, False], tasks

    _run(context, act())


@when('entry {number:d} is lost')
def lose(context, number):
    async def act():
        _entry(context, number).lines.abort()
        await _settle()

    _run(context, act())


@when('the caller of a request that waits at entry {number:d} leaves')
def leave(context, number):
    async def act():
        task = _entry(context, number).ask(5000)
        await _settle()
        task.cancel()
        await _settle()

    _run(context, act())


@when('the side dies while entry {number:d} waits')
def die(context, number):
    async def act():
        task = _entry(context, number).ask(5000)
        await _settle()
        began = asyncio.get_running_loop().time()
        await context.side.__aexit__(None, None, None)
        context.answer = await task
        context.took_seconds = asyncio.get_running_loop().time() - began

    _run(context, act())


@when('the side says nothing any more')
def fall_silent(context):
    context.side._tell_task.cancel()  # noqa: SLF001


@when(
    'entry {number:d} tells of a request that {count:d} servers went down under'
)
def tell_strikes(context, number, count):
    async def act():
        strikes = tuple(
            Strike('f1', f'i-{one}', STRIKE_SECONDS) for one in range(count)
        )
        _entry(context, number).lines.send(Struck(strikes))
        await _settle()

    _run(context, act())


@when('another entry connects')
def connect_another(context):
    async def act():
        entry = _Entry('late', 8)
        context.entries.append(entry)
        await asyncio.get_running_loop().create_connection(
            lambda: entry.lines,
            _IP,
            context.side.port,
        )
        await _settle()

    _run(context, act())


@then('entry {number:d} knows of {count:d} servers')
def knows_strikes(context, number, count):
    async def look():
        now = asyncio.get_running_loop().time()
        return _entry(context, number).crashes.book.count(now, 'f1')

    assert _run(context, look()) == count


@when('somebody sends the side a line that is no message')
def send_nonsense(context):
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


@then('entry {number:d} is granted')
def is_granted(context, number):
    task = _entry(context, number).asks[-1][1]
    answer = _run(context, asyncio.wait_for(task, 1))
    assert isinstance(answer, TurnGranted), answer


@then('entry {second:d} waits until entry {first:d} is done')
def waits(context, second, first):
    async def act():
        assert not _entry(context, second).asks[-1][1].done()
        done = _entry(context, first)
        done.lines.ended(done.asks[-1][0])

    _run(context, act())
    is_granted(context, second)


@then('the side holds {running:d} request and none waits')
def holds(context, running):
    admission = context.side.admission
    assert (admission.running, admission.waiting) == (running, 0)


@then(
    'entry {number:d} is told that the side is lost within {seconds:g} seconds',
)
def told_lost(context, number, seconds):
    assert context.answer is None
    assert context.took_seconds < seconds


@then('entry {number:d} takes it for lost within {seconds:g} seconds')
def takes_for_lost(context, number, seconds):
    lines = _entry(context, number).lines
    _run(context, asyncio.wait_for(lines.wait_lost(), seconds))
    assert not _run(context, _live(lines))


async def _live(lines):
    return lines.live


def _holders(context, number, seconds, part):
    async def act():
        await asyncio.sleep(seconds)
        now = asyncio.get_running_loop().time()
        return _entry(context, number).holdings.of(now, part)

    return _run(context, act())


@then(
    'entry {number:d} knows within {seconds:g} seconds'
    ' that the server holds {part}',
)
def knows_part(context, number, seconds, part):
    assert _IP in _holders(context, number, seconds, part)


@then('each entry knows that there are {count:d}')
def knows_count(context, count):
    assert all(one.lines.entries == count for one in context.entries)


@then('the side closes that connection and serves the others')
def serves_others(context):
    assert context.closed
    ask(context, 1, 100)
    is_granted(context, 1)


@given(
    'the entries know that the engine started at {started:d} '
    'with revision {revision:d}',
)
def know_start(context, started, revision):
    for number in range(1, len(context.entries) + 1):
        learn_start(context, number, started, revision)


@when(
    'entry {number:d} learns that the engine started at {started:d} '
    'with revision {revision:d}',
)
def learn_start(context, number, started, revision):
    async def act():
        entry = _entry(context, number)
        entry.beliefs.start = ServerStart('i-1', started, revision)
        entry.lines.send(entry.beliefs.started(entry.beliefs.start))
        await _settle()

    _run(context, act())


@when(
    'entry {number:d} learns that the engine started at {started:d} '
    'with revision {revision:d}, and its side does not',
)
def learn_alone(context, number, started, revision):
    start = ServerStart('i-1', started, revision)
    _entry(context, number).beliefs.start = start


@then('entry {number:d} hears that the engine started at {started:d}')
def hears_start(context, number, started):
    heard = _entry(context, number).heard.starts
    assert heard == [started], heard


@then(
    'entry {number:d} does not know within {seconds:g} seconds'
    ' that the server holds {part}',
)
def knows_no_part(context, number, seconds, part):
    assert not _holders(context, number, seconds, part)


@when('entry {number:d} asks {count:d} times for {tokens:d} tokens')
def ask_times(context, number, count, tokens):
    async def act():
        entry = _entry(context, number)
        context.crowd = [entry.ask(tokens) for _ in range(count)]
        await _settle()

    _run(context, act())


@when(
    'entry {number:d} learns that the engine started at {started:d} with '
    'revision {revision:d}, cold for {seconds:g} seconds at {rate:g} a second',
)
@when(
    'entry {number:d} learns that the engine started at {started:d} with '
    'revision {revision:d}, cold for {seconds:g} second at {rate:g} a second',
)
def learn_cold(context, number, started, revision, seconds, rate):
    async def act():
        beliefs = _entry(context, number).beliefs
        until_seconds = boot_clock() + seconds
        beliefs.cold = ColdWord(until_seconds, per_second=rate)

    _run(context, act())
    learn_start(context, number, started, revision)


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
    return context.side.engine.cold.left_seconds(now)


@then('the side takes the engine for cold for at most {seconds:g} seconds')
def cold_for_less(context, seconds):
    assert _cold_seconds(context) <= seconds


@then('the side takes the engine for cold for at least {seconds:g} seconds')
def cold_for_longer(context, seconds):
    assert _cold_seconds(context) >= seconds


@then(
    'the side tells of {starts:d} starts in a row '
    'and {turns:d} turns in the last second',
)
def tells_starts(context, starts, turns):
    assert context.side.engine.in_a_row == starts
    assert context.side.engine.granted_last_second == turns


@then('at least {least:d} of these are granted at once')
def all_granted(context, least):
    assert context.side.admission.running >= least


@when('entry {number:d} asks as caller {caller:d} and is refused')
def ask_as(context, number, caller):
    async def act():
        entry = _entry(context, number)
        ask = AskTurn(
            f'{entry.name}.as-{caller}-{len(entry.asks)}',
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
        context.told = await entry.lines.ask(ask, 3)
        assert isinstance(context.told, TurnRefused), context.told

    _run(context, act())


@then(
    'entry 2 is told that caller 7 was refused before, {seconds:g} seconds ago',
)
def told_returned(context, seconds):
    told = context.told.returned_seconds
    assert seconds <= told < seconds + 0.2, told


@then('another caller was not')
def not_returned(context):
    ask_as(context, 2, 8)
    assert not context.told.returned_seconds


@when('{count:d} different callers are refused')
def refuse_many(context, count):
    context.refused = RefusedRequests()
    for caller in range(1, count + 1):
        context.refused.note(0, f'c{caller}')


@then('the side remembers at most {most:d} of them')
def remembers(context, most):
    known = [
        caller
        for caller in range(1, 30_001)
        if context.refused.waited_seconds(1, f'c{caller}') > 0
    ]
    assert len(known) <= most
    assert known[-1] == 30_000


def _taken(context, caller, due, known):
    """Tell how a side sees an ask: what it hands to the admission."""
    taken = []
    side = context.side

    async def act():
        message = AskTurn(
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
            returned_seconds=known,
        )
        ask = side.ask
        side.ask = taken.append
        try:
            side.take(next(iter(side._entries)), message)  # noqa: SLF001
        finally:
            side.ask = ask

    _run(context, act())
    return taken[0]


@then(
    'an ask of caller {caller:d} that is due in {due:g} seconds'
    ' and knows of {known:g} is not late',
)
def still_in_time(context, caller, due, known):
    assert not _taken(context, caller, due, known).is_late


@then(
    'an ask of caller {caller:d} that is due in {due:g} seconds'
    ' and knows of nothing is late',
)
def late_by_side(context, caller, due):
    assert _taken(context, caller, due, 0).is_late
