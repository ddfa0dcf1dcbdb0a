"""A slow backend server that crashes, fails, stutters or asks for rest."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from itertools import combinations
from random import Random

from tests.support.moving_servers import MovingServer
from tests.support.relay_servers import ScriptedServer

from benchmarks.soak.losses import Period, ServerRecord

EVENTS = 60
"""Some streams outlast the 1 s after which they move off a leaving engine."""
EVENT_SECONDS = 0.04
_MAX_OVERLAP_SECONDS = 0.4
_STEP_SECONDS = 0.01
_RETENTION_SECONDS = 5.0
_FAULT_FRACTION = 0.2
_CLOSING_FRACTION = 0.4
"""Of the servers; their responses end with the connection."""
_MAX_CRASHES = 8
"""By one part: five, and three more requests afterwards. Source: the users'
pages."""
VERSIONS = ('v1', 'v2')
_FIRST_START = 1_790_000_000_000


class SoakServer(ScriptedServer):
    """Counts its runs over all its starts."""

    def __init__(
        self, ip: str, pool: str, runs: Counter[str], seed: int
    ) -> None:
        """Build a server that is not started.

        :param ip: its own IP address.
        :param pool: its pool.
        :param runs: counts the runs by request, for all servers.
        :param seed: decides whether its responses state a length.
        """
        super().__init__('')
        drawn = Random(f'{seed} {ip} length').random()  # noqa: S311
        self.notices.states_length = drawn >= _CLOSING_FRACTION
        self.ip = ip
        self.pool = pool
        self.runs = runs
        self.starts = 0
        self.restart_lock = asyncio.Lock()
        """Held during a crash and the restart, because faults overlap."""
        self.run_starts: list[tuple[float, str]] = []
        """Start time and workspace of each run."""
        self.responds_twice = False
        """Sends a second response where the next one is due."""
        self.fails = False
        """Runs requests and responds with a failure."""
        self.rest_until_seconds = float('-inf')
        """Turns requests away until then, on the clock of the event loop."""
        self.record = ServerRecord()

    async def start(self) -> None:
        """Start, or start again, under a new id."""
        self.starts += 1
        if self.started is None:
            self.instance = f'i-{self.ip}-{self.starts}'
        await self.open(self.ip)

    async def open(self, ip=None):
        """Listen; a connection belongs to the start that has accepted it."""
        self._server = await asyncio.start_server(
            partial(self._serve_start, self.starts), ip or self.ip, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Stop immediately and end all connections."""
        self.record.crash_times.append(_now())
        for period in (*self.record.silences, *self.record.leavings):
            period.ended_seconds = min(period.ended_seconds, _now())
        await self.close()
        for writer in list(self.writers):
            if self.notices.states_length:
                writer.transport.abort()
            else:
                # As the system does for a process that has ended.
                writer.close()

    def leave(self) -> None:
        """Record that the store has accepted its leaving."""
        self.record.leavings.append(Period(_now()))

    def fall_silent(self, seconds: float) -> None:
        """Do nothing for a time and go on, as a process that is suspended."""
        self.record.silences.append(Period(_now(), _now() + seconds))

    async def _sleep(self, seconds):
        """Sleep, and longer while silent."""
        crashes = len(self.record.crash_times)
        await asyncio.sleep(seconds)
        ends = [one.ended_seconds for one in self.record.silences]
        silent_seconds = max(ends, default=0) - _now()
        if silent_seconds > 0:
            await self._sleep(silent_seconds)
        if len(self.record.crash_times) > crashes:
            raise ConnectionAbortedError

    async def _perform(self, request, reader, writer):
        if writer.transport.is_closing():
            # Read before the crash.
            raise ConnectionAbortedError
        if request[0].startswith(b'GET /healthz '):
            await self._sleep(0)
            self._report_health(writer)
            return
        self.record.sent.add(request[1].get('x-sardinetrack-request-id', ''))
        request[1]['arrived'] = _now()
        await self._sleep(0)
        await super()._perform(request, reader, writer)

    async def _serve_start(self, start, reader, writer):
        if start != self.starts or not self._server.is_serving():
            # Accepted just before the crash.
            writer.transport.abort()
            return
        await self._serve(reader, writer)

    async def _answer(self, fields, reader, writer):
        expected = fields.get('x-sardinetrack-expect-instance')
        if expected != self.instance:
            writer.write(b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n')
            return
        request_id = fields['x-sardinetrack-request-id']
        self.record.arrivals[request_id] = fields['arrived']
        rest_seconds = self.rest_until_seconds - _now()
        if rest_seconds > 0 or not self._admits(fields):
            self._turn_away(fields, writer, max(0, rest_seconds))
            return
        workspace = fields.get('x-sardinetrack-tenant', '')
        self.run_starts.append((_now(), workspace))
        if self.fails:
            self._whole(fields, writer, '500 Oops', b'broken')
            return
        if 'x-sardinetrack-token-count' not in fields:
            await self._respond(fields, writer)
            return
        await self._stream_run(fields, reader, writer)

    async def _respond(self, fields, writer):
        await self._sleep(EVENT_SECONDS)
        mark = self._mark(fields)
        if not self.notices.states_length:
            # Some end in the middle of it.
            writer.write(self._stream_head(fields) + mark[:1])
            await self._sleep(EVENT_SECONDS)
            writer.write(mark[1:])
            writer.close()
            return
        response = self._response(fields, '200 OK', mark)
        writer.write(response)
        if self.responds_twice:
            self._late[writer] = response

    def _admits(self, fields):
        self.runs[fields['x-sardinetrack-request-id']] += 1
        return True

    def _turn_away(self, fields, writer, rest_seconds):
        request_id = fields['x-sardinetrack-request-id']
        writer.write(
            b'HTTP/1.1 503 Full\r\nX-Sardinetrack-Not-Processed: 1\r\n'
            b'X-Sardinetrack-Request-Id: %b\r\nRetry-After: %.3f\r\n'
            b'Content-Length: 0\r\n\r\n' % (request_id.encode(), rest_seconds)
        )

    async def _event(self, fields, number):
        await self._sleep(EVENT_SECONDS)
        return b'id: %d\ndata: %b %d %b\n\n' % (
            number,
            self._mark(fields),
            number,
            self.version.encode(),
        )

    def _mark(self, fields):
        # A request that resumes a stream has another request id.
        name = fields.get('x-mark', fields['x-sardinetrack-request-id'])
        return name.encode()


@dataclass(eq=False, slots=True)
class Run:
    """The work of an engine on a stream, and the copy of its KV cache."""

    request_id: str
    name: str
    engine: str
    made: int
    began_seconds: float
    ended_seconds: float = math.inf
    holders: frozenset[str] = frozenset()
    """Addresses of the engines that hold the copy, if there is one."""
    record: ServerRecord = field(default_factory=ServerRecord, repr=False)

    def overlap_seconds(self, other: Run, now: float) -> float:
        """Return how long both have worked; a silent server doesn't."""
        end = min(self.ended_seconds, other.ended_seconds, now)
        steps = int((end - other.began_seconds) / _STEP_SECONDS)
        times = (
            other.began_seconds + _STEP_SECONDS * step for step in range(steps)
        )
        working = [
            at
            for at in times
            if not (self.record.is_silent(at) or other.record.is_silent(at))
        ]
        return len(working) * _STEP_SECONDS


@dataclass
class DeadlyPrompts:
    """The part of prompts that crashes engines at present."""

    part: str = ''
    crashes: Counter[str] = field(default_factory=Counter)
    """By part."""
    crashed: asyncio.Queue[SoakEngine] = field(default_factory=asyncio.Queue)
    """Engines that have ended and are to be started again."""

    def violations(self) -> list[str]:
        """Describe the parts that have crashed too many engines."""
        return [
            f'{count} engines crashed on prompts with {part}'
            for part, count in self.crashes.items()
            if count > _MAX_CRASHES
        ]


@dataclass
class Moves:
    """What all engines share; the index of a run is the handle of its copy."""

    runs: list[Run] = field(default_factory=list)
    deadly: DeadlyPrompts = field(default_factory=DeadlyPrompts)
    counts: Counter[str] = field(default_factory=Counter)
    """Injected failures, continued streams and freed copies."""

    def violations(self) -> list[str]:
        """Describe the copies that are left and the runs that overlap."""
        now = _now()
        found = [
            f'a copy is left of {run}'
            for run in self.runs
            if run.holders and now < run.ended_seconds + _RETENTION_SECONDS
        ]
        for one, other in combinations(self.runs, 2):
            if one.name == other.name and one.engine != other.engine:
                if one.overlap_seconds(other, now) > _MAX_OVERLAP_SECONDS:
                    found.append(f'two engines work at once: {one}, {other}')
        return found + self.deadly.violations()


class SoakEngine(SoakServer, MovingServer):
    """Fails some reports, copies and continuations, drawn from a seed."""

    def __init__(
        self, address: str, runs: Counter[str], moves: Moves, seed: int
    ) -> None:
        """Build an engine that is not started."""
        ip, port = address.split(':')
        super().__init__(ip, 'models', runs, seed)
        self.port = int(port)
        self._address = address
        self._moves = moves
        self._deadly = moves.deadly
        self._rng = Random(f'{seed} {ip}')  # noqa: S311
        self.sound = False
        """Fails no report, copy or continuation."""
        if seed % 2:
            # All its starts have one id.
            self.instance = f'i-{ip}'
            self.started = _FIRST_START

    async def start(self) -> None:
        """Start, perhaps with other software."""
        self.version = self._rng.choice(VERSIONS)
        if self.started is not None:
            self.started += 1
        await super().start()

    async def crash(self) -> None:
        """Stop immediately; what it ran has ended."""
        await super().crash()
        for run in self.running():
            run.ended_seconds = _now()

    async def _perform(self, request, reader, writer):
        if request[0].startswith(b'GET /v1/report '):
            await self._sleep(0)
            await self._report(writer)
            return
        await super()._perform(request, reader, writer)
        while self.freed:
            self._moves.runs[int(self.freed.pop())].holders = frozenset()
            self._moves.counts['freed'] += 1

    def _draw(self, *faults):
        failing = self._rng.random() < _FAULT_FRACTION and not self.sound
        fault = self._rng.choice(faults) if failing else 'none'
        self._moves.counts[fault] += 1
        return fault

    def running(self) -> list[Run]:
        """Return the runs that have not ended."""
        runs = (one for one in self._moves.runs if one.engine == self.instance)
        return [one for one in runs if one.ended_seconds > _now()]

    async def _report(self, writer):
        fault = self._draw('late report', 'cut report')
        if fault == 'late report':
            await self._sleep(0.4)  # Sides wait for 0.3 s.
        if fault == 'cut report':
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{')
            writer.close()
            return
        running = self.running()
        runs = [
            (one.request_id, 900 + 5 * one.made, one.made, 0)
            for one in running
            if one.made
        ]
        report = {'queued': 0, 'active': len(running), 'runs': runs}
        if self.started is not None:
            report['born'] = self.started
        self._reply(writer, '200 OK', report)

    async def _copy(self, call, writer):
        await self._sleep(EVENT_SECONDS)
        fault = self._draw('busy', 'full', 'late', 'lost')
        runs = [one for one in self.running() if one.request_id == call['id']]
        if not runs or fault == 'busy':
            self._reply(writer, '409 Conflict' if runs else '404 Not Found', {})
            return
        if 'last' in call:
            runs[0].ended_seconds = _now()
            self.record.stopped.add(runs[0].request_id)
        elif fault == 'full':
            self._reply(writer, '503 Full', {})
            return
        await self._hold(runs[0], call['to'], fault, writer)

    async def _hold(self, run, destination, fault, writer):
        # If nobody learns the handle in time, the copy may expire.
        run.holders = frozenset()
        if fault in {'late', 'lost'}:
            self.record.broken.add(run.request_id)
            await self._sleep(1.2 if fault == 'late' else 0)
            writer.transport.abort()
            return
        kept = self._address if fault == 'full' else destination
        run.holders = frozenset((self._address, kept))
        status = '503 Full' if fault == 'full' else '200 OK'
        handle = str(self._moves.runs.index(run))
        self._reply(writer, status, {'kvHandle': handle})

    def _admits(self, fields):
        if 'kv-from' not in fields:
            return super()._admits(fields)
        run = self._moves.runs[int(fields['kv-from'].rpartition('/')[2])]
        if self._address not in run.holders:
            return False
        if self._draw('refused') != 'none':
            self.record.broken.add(fields['x-sardinetrack-request-id'])
            return False
        run.holders = frozenset()
        self._moves.counts['continued'] += 1
        # A request that is sent too early lacks an event.
        fields['last-event-id'] = run.made
        return True

    async def _end_if_deadly(self, fields):
        """End without an event if the prompt has the deadly part."""
        part = fields['x-sardinetrack-prefix-hash'].partition(':')[0]
        if part != self._deadly.part:
            return False
        await self._sleep(EVENT_SECONDS)
        if not self.restart_lock.locked():
            self._deadly.crashes[part] += 1
            await self.restart_lock.acquire()
            await self.crash()
            self._deadly.crashed.put_nowait(self)
        return True

    async def _stream_run(self, fields, reader, writer):
        if await self._end_if_deadly(fields):
            return
        request_id = fields['x-sardinetrack-request-id']
        made = int(fields.get('last-event-id', 0))
        name = self._mark(fields).decode()
        run = Run(request_id, name, self.instance, made, _now())
        run.record = self.record
        self._moves.runs.append(run)
        writer.write(self._stream_head(fields))
        try:
            while run.made < EVENTS:
                event = await self._event(fields, run.made + 1)
                if run.ended_seconds <= _now() or reader.at_eof():
                    writer.close()
                    return
                run.made += 1
                writer.write(self._framed(event))
                await writer.drain()
        finally:
            run.ended_seconds = min(run.ended_seconds, _now())
        self._end_stream(writer)


def _now():
    return asyncio.get_running_loop().time()
