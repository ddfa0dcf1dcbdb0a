"""Scripted backend servers: one act for each request."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections import defaultdict, deque
from contextlib import suppress
from dataclasses import dataclass, field

from tests.support.late_responses import LateResponses

STAMP = 'X-Sardinetrack-Server-Stamp: s1'
EVENTS = 6
LONG_EVENTS = 320
_PADDING = b': %b\n' % bytes(65_536).replace(b'\0', b'.')
_LATE_SECONDS = 0.15
_DISCONNECTED = (
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
    ConnectionError,
)


class SharedActs:
    """Acts of several servers, for the first requests at any of them."""

    def __init__(self, *acts):
        self._acts = deque(acts)

    def __bool__(self):
        return bool(self._acts)

    def popleft(self):
        return self._acts.popleft()


@dataclass
class Notices:
    """What a server says about itself in the heads of its responses."""

    rests: deque = field(default_factory=deque)
    """Seconds of rest that its next refusals ask for."""
    rests_until: float = 0
    """By the clock of the event loop."""
    load: str = ''
    """What its responses say of its load."""
    endless: tuple[bytes, bytes] = (b'', b'')
    """Beginning of a response that has no end, and what it repeats then;
    ``HEAD`` stands for a usual status line and headers."""
    sent_status: str = '200'
    leaving: bool = False
    leaving_act: str = 'answer'
    """What it does when it first says that it leaves (act ``leave``)."""
    states_length: bool = True
    """Else its responses have neither a length nor chunks, and end with the
    connection."""
    reported_runs: list = field(default_factory=list)
    renamed: asyncio.Event = field(default_factory=asyncio.Event)
    restarts: int = 0
    """Starts since the one that is listed."""
    leaves_milliseconds: object = None
    """In its reports."""
    report_delay_seconds: float = 0
    report_calls: int = 0
    cut_reports: int = 0
    """How many of its next reports it cuts."""
    reported_seconds: float = 0
    """When it last reported, by the clock of the event loop."""
    report_fields: deque = field(default_factory=deque)
    """More header lines of its next reports of a start."""
    held_act: str = 'answer'
    """What follows the act ``held`` once it is released."""
    released: asyncio.Event = field(default_factory=asyncio.Event)
    stalls: defaultdict = field(default_factory=lambda: defaultdict(float))
    """Seconds that its streams pause, by the number of the event after."""


class ScriptedServer(LateResponses):
    """Performs one act for each request; responds normally if none is left.

    An act is the name of a method without its underscore.
    """

    ip = '127.0.0.1'
    version = ''
    started = None
    event_form = 'id: {number}\ndata: token {number}\n\n'

    def __init__(self, instance):
        self.instance = instance
        self.acts = deque()
        self.requests = []
        self.gone = asyncio.Event()
        self.asked = asyncio.Event()
        self.port = 0
        self.writers = set()
        self.deadly = None
        self.down = False
        self.failure_domain = 'galata'
        self.cold_seconds = 0
        self.notices = Notices()
        self._preceding = None
        self._server = None
        # Sent on the same connection before the response to its next request.
        self._late = {}

    async def open(self, ip=None):
        self._server = await asyncio.start_server(
            self._serve,
            ip or self.ip,
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()

    def send_late(self):
        """Repeat a response to the last request, on every connection."""
        fields = self.requests[-1][1]
        for writer in self.writers:
            writer.write(self._response(fields, '200 OK', b'late'))

    def follow(self, preceding):
        """Let something of the last request's id precede the next response."""
        self._preceding = preceding
        self.acts.append('follow')

    def end_connections(self):
        for writer in self.writers:
            writer.get_extra_info('socket').shutdown(socket.SHUT_WR)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with suppress(*_DISCONNECTED):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _fields(head)
                length = int(fields.get('content-length', 0))
                body = await reader.readexactly(length)
                await self._perform((head, fields, body), reader, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _perform(self, request, reader, writer):
        head, fields, body = request
        if head.startswith(b'GET /v1/report '):
            self.notices.report_calls += 1
            await asyncio.sleep(self.notices.report_delay_seconds)
            if self.notices.cut_reports:
                self.notices.cut_reports -= 1
                writer.transport.abort()
                return
            self.notices.reported_seconds = _now()
            self._report_start(writer)
            return
        if head.startswith(b'GET /healthz '):
            self._report_health(writer)
            return
        self.requests.append(request)
        self.asked.set()
        if body == self.deadly:
            self.acts = deque(['crash'])
        writer.write(self._late.pop(writer, b''))
        act = self.acts.popleft() if self.acts else 'answer'
        if head.startswith(b'HEAD') and act == 'answer':
            act = 'bare'
        await getattr(self, f'_{act}')(fields, reader, writer)

    def _report_start(self, writer):
        """Respond to a call that runs nothing."""
        runs = self.notices.reported_runs
        report = {'queued': 0, 'active': len(runs), 'runs': runs}
        if self.started is not None:
            report['born'] = self.started + self.notices.restarts
        if self.notices.leaves_milliseconds is not None:
            report['leaves_ms'] = self.notices.leaves_milliseconds
        body = json.dumps(report).encode()
        added = ''
        if self.notices.report_fields:
            added = self.notices.report_fields.popleft()
        head = f'HTTP/1.1 200 OK\r\n{added}Content-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)

    def _report_health(self, writer):
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
            b'X-Sardinetrack-Instance-Id: %b\r\n\r\n' % self.instance.encode()
        )

    async def _answer(self, fields, reader, writer):
        if 'x-sardinetrack-token-count' in fields:
            await self._stream(fields, writer, EVENTS)
            self._end_stream(writer)
            return
        self._whole(fields, writer, '200 OK', b'done by %d' % self.port)

    async def _answer_at_length(self, fields, reader, writer):
        self._whole(fields, writer, '200 OK', bytes(8_000_000))

    async def _send_without_end(self, fields, reader, writer):
        begin, piece = self.notices.endless
        writer.write(begin.replace(b'HEAD', self._head(fields, '200').encode()))
        while True:
            writer.write(piece)
            await writer.drain()

    async def _send_head_and_body(self, fields, reader, writer):
        begin, _ = self.notices.endless
        head = self._head(fields, self.notices.sent_status).encode()
        writer.write(begin.replace(b'HEAD', head))

    async def _send_and_close(self, fields, reader, writer):
        await self._send_head_and_body(fields, reader, writer)
        writer.close()

    async def _fail(self, fields, reader, writer):
        self._whole(fields, writer, '500 Oops', b'broken')

    async def _find_nothing(self, fields, reader, writer):
        self._whole(fields, writer, '404 Not Found', b'no such path')

    async def _have_nothing(self, fields, reader, writer):
        writer.write(f'{self._head(fields, "204 No Content")}\r\n'.encode())

    async def _answer_and_block(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        _block(_LATE_SECONDS)

    async def _stream_at_length(self, fields, reader, writer):
        await self._stream(fields, writer, LONG_EVENTS, _PADDING)
        writer.write(b'0\r\n\r\n')

    async def _stop_midway(self, fields, reader, writer):
        await self._stream(fields, writer, LONG_EVENTS // 2, _PADDING)
        await self._hang(fields, reader, writer)

    async def _flood(self, fields, reader, writer):
        head = self._head(fields, '200 OK')
        writer.write(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
        while True:
            event = await self._event(fields, 1)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event) * 1000)
            await writer.drain()

    async def _hint_and_answer(self, fields, reader, writer):
        writer.write(b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n')
        await self._answer(fields, reader, writer)

    async def _switch_protocol(self, fields, reader, writer):
        head = self._head(fields, '101 Switching Protocols')
        fields = 'Connection: Upgrade\r\nUpgrade: other\r\n'
        writer.write(f'{head}{fields}\r\n'.encode())

    async def _answer_unsigned(self, fields, reader, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake')

    async def _cut(self, fields, reader, writer):
        await self._stream(fields, writer, EVENTS // 2)
        writer.write(b'9\r\nid: 4\ndat\r\n')
        await writer.drain()
        writer.transport.abort()

    async def _reset(self, fields, reader, writer):
        writer.transport.abort()

    async def _crash(self, fields, reader, writer):
        self.down = True
        await self.close()
        for one in self.writers:
            one.transport.abort()

    async def _begin_and_crash(self, fields, reader, writer):
        """Send a head without a length, and end as if that were all."""
        writer.write(f'{self._head(fields, "200 OK")}\r\n'.encode())
        await self._end_process(writer)

    async def _close_midway(self, fields, reader, writer):
        """Send a part without a length, and end as if that were all."""
        self.notices.states_length = False
        if 'x-sardinetrack-token-count' in fields:
            await self._stream(fields, writer, EVENTS // 2)
        else:
            head = f'{self._head(fields, "200 OK")}\r\n'
            writer.write(f'{head}done by'.encode())
        await self._end_process(writer)

    async def _leave_midway(self, fields, reader, writer):
        """Send a part without a length, and end a moment after closing."""
        self.notices.states_length = False
        await self._stream(fields, writer, EVENTS // 2)
        writer.close()
        await asyncio.sleep(_LATE_SECONDS)
        await self._end_process(writer)

    async def _cut_midway(self, fields, reader, writer):
        """Send a part without a length, close, and serve on."""
        self.notices.states_length = False
        self.notices.reported_runs = [
            (fields['x-sardinetrack-request-id'], 100, EVENTS, 0)
        ]
        await self._stream(fields, writer, EVENTS // 2)
        writer.close()

    async def _rename_midway(self, fields, reader, writer):
        """End in the middle of a response, and start again with another id."""
        await self._close_midway(fields, reader, writer)
        await self.open()
        self.instance = f'{self.instance}-again'
        self.notices.renamed.set()

    async def _restart_midway(self, fields, reader, writer):
        """The same, and listen again as the next start."""
        await self._close_midway(fields, reader, writer)
        self.notices.restarts += 1
        await self.open()

    async def _end_process(self, writer):
        """Close all connections, as the system does for one that has ended."""
        if not writer.is_closing():
            await writer.drain()
        self.down = True
        await self.close()
        for one in self.writers:
            one.close()

    async def _bare(self, fields, reader, writer):
        head = self._head(fields, '200 OK')
        writer.write(f'{head}Content-Length: 10\r\n\r\n'.encode())

    async def _shed(self, fields, reader, writer):
        writer.write(
            self._refusal('503 Full', 'X-Sardinetrack-Not-Processed: 1')
        )

    async def _misdirect(self, fields, reader, writer):
        writer.write(self._refusal('421 Another'))

    async def _rest(self, fields, reader, writer):
        writer.write(
            self._refusal(
                '503 Full',
                'X-Sardinetrack-Not-Processed: 1',
                self._retry_after(),
            ),
        )

    async def _held(self, fields, reader, writer):
        await self.notices.released.wait()
        act = getattr(self, f'_{self.notices.held_act}')
        await act(fields, reader, writer)

    async def _rest_other(self, fields, reader, writer):
        other = 'X-Sardinetrack-Request-Id: another'
        writer.write(self._refusal('503 Full', other, self._retry_after()))

    async def _leave(self, fields, reader, writer):
        self.notices.leaving = True
        act = getattr(self, f'_{self.notices.leaving_act}')
        await act(fields, reader, writer)

    async def _pause(self, fields, reader, writer):
        head = self._head(fields, '200 OK')
        writer.write(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
        for number in range(1, EVENTS + 1):
            event = await self._event(fields, number)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await asyncio.sleep(0.1)
        writer.write(b'0\r\n\r\n')

    async def _hang(self, fields, reader, writer):
        await reader.read()
        self.gone.set()

    async def _cut_and_leave(self, fields, reader, writer):
        await self.close()
        await self._cut(fields, reader, writer)

    async def _stream(self, fields, writer, last, padding=b''):
        writer.write(self._stream_head(fields))
        first = int(fields.get('last-event-id', 0)) + 1
        for number in range(first, last + 1):
            if self.notices.stalls[number]:
                await asyncio.sleep(self.notices.stalls[number])
            event = padding + await self._event(fields, number)
            writer.write(self._framed(event))
            await writer.drain()

    def _stream_head(self, fields):
        framing = (
            'Transfer-Encoding: chunked\r\n'
            if self.notices.states_length
            else ''
        )
        return f'{self._head(fields, "200 OK")}{framing}\r\n'.encode()

    def _framed(self, event):
        if self.notices.states_length:
            return b'%x\r\n%b\r\n' % (len(event), event)
        return event

    def _end_stream(self, writer):
        if self.notices.states_length:
            writer.write(b'0\r\n\r\n')
        else:
            writer.close()

    async def _event(self, fields, number):
        return self.event_form.format(number=number).encode()

    def _whole(self, fields, writer, status, body):
        if self.notices.states_length:
            writer.write(self._response(fields, status, body))
            return
        writer.write(f'{self._head(fields, status)}\r\n'.encode() + body)
        writer.close()

    def _response(self, fields, status, body):
        head = self._head(fields, status)
        length = f'Content-Length: {len(body)}\r\n\r\n'
        return head.encode() + length.encode() + body

    def _head(self, fields, status):
        request_id = fields['x-sardinetrack-request-id']
        return (
            f'HTTP/1.1 {status}\r\n{STAMP}\r\n{self._leaving_line()}'
            f'X-Sardinetrack-Request-Id: {request_id}\r\n{self._load_line()}'
        )

    def _refusal(self, status, *lines):
        head = (f'HTTP/1.1 {status}', *lines, 'Content-Length: 0')
        notices = f'{self._leaving_line()}{self._load_line()}'
        return '\r\n'.join((*head, f'{notices}\r\n')).encode()

    def _leaving_line(self):
        return 'Server-Leaving: 1\r\n' if self.notices.leaving else ''

    def _load_line(self):
        load = self.notices.load
        return f'X-Sardinetrack-Server-Load: {load}\r\n' if load else ''

    def _retry_after(self):
        seconds = self.notices.rests.popleft()
        until = _now() + seconds
        self.notices.rests_until = max(self.notices.rests_until, until)
        return f'Retry-After: {seconds}'


def _now():
    return asyncio.get_running_loop().time()


def _block(seconds):
    time.sleep(seconds)


def _fields(head):
    lines = head.decode().split('\r\n')[1:-2]
    pairs = (line.split(': ', 1) for line in lines)
    return {name.lower(): content for name, content in pairs}
