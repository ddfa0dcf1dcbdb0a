"""Scripted engines whose running requests can move to each other."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from tests.support.relay_servers import ScriptedServer

EVENTS = 40
EVENT_SECONDS = 0.02
_LATE_SECONDS = 0.1
_SILENT_SECONDS = 0.7


@dataclass
class _Run:
    made: int
    stopped: bool = False


class MovingServer(ScriptedServer):
    """Copies a run as it is asked to, unless its reply to that is scripted.

    It continues from what the copy holds, whatever event the entry names: sent
    too early, the stream would lack an event.
    """

    copies = {}
    """Events made at the stop of the run, by handle; for all engines."""

    def __init__(self, instance):
        super().__init__(instance)
        self.made = []
        """Events that it has made, in order."""
        self.freed = []
        self.calls = []
        self.replies = {'copy': 'ok', 'stop': 'ok'}
        """To the first copy, to a stop, and to a second stop (``again``) if it
        differs."""
        self.late_form = ''
        """Form of the event that follows the stop of a run; else as others."""
        self.copying = 0
        self.max_copying = 0
        self._runs = {}
        self._used = set()
        self._awake = asyncio.Event()
        self._awake.set()

    async def _perform(self, request, reader, writer):
        head, _, body = request
        await self._awake.wait()
        if head.startswith(b'DELETE /v1/kv-handle/'):
            self.freed.append(head.split(b' ')[1].decode().rpartition('/')[2])
            self._reply(writer, '200 OK', {})
        elif head.startswith(b'POST /v1/kv-move '):
            await self._copy(json.loads(body), writer)
        else:
            self._used.add(writer)
            await super()._perform(request, reader, writer)

    async def _copy(self, call, writer):
        if writer in self._used:
            # A late second response to an earlier request.
            self._reply(writer, '200 OK', {'kvHandle': 'of-another-run'})
        self.calls.append(call)
        self.copying += 1
        self.max_copying = max(self.max_copying, self.copying)
        await asyncio.sleep(EVENT_SECONDS)
        self.copying -= 1
        await self._awake.wait()
        await getattr(self, f'_call_{self._reply_name(call)}')(call, writer)

    def _reply_name(self, call):
        if not call.get('last'):
            return self.replies['copy']
        is_repeated = self.calls.count(call) > 1
        return self.replies.get(
            'again' if is_repeated else '', self.replies['stop']
        )

    async def _call_ok(self, call, writer):
        run = self._runs[call['id']]
        if call.get('last'):
            self._stop(run)
        self.copies[call['id']] = run.made if run.stopped else None
        created = {'kvHandle': call['id'], 'created': run.made}
        self._reply(writer, '200 OK', created)

    async def _call_gone(self, call, writer):
        self._reply(writer, '404 Not Found', {})

    async def _call_busy(self, call, writer):
        self._reply(writer, '409 Conflict', {})

    async def _call_full(self, call, writer):
        self._reply(writer, '503 Full', {})

    async def _call_kept(self, call, writer):
        run = self._runs[call['id']]
        self._stop(run)
        self.copies[call['id']] = run.made
        self._reply(writer, '503 Full', {'kvHandle': call['id']})

    async def _call_unnamed(self, call, writer):
        self._reply(writer, '200 OK', {'kvHandle': 'x\r\nAuthorization: y'})

    async def _call_silent(self, call, writer):
        await asyncio.sleep(60)

    async def _call_cut(self, call, writer):
        writer.transport.abort()

    async def _call_stopped_silent(self, call, writer):
        self._stop(self._runs[call['id']])
        await asyncio.sleep(60)

    async def _call_frozen(self, call, writer):
        self._runs[call['id']].stopped = None
        await asyncio.sleep(60)

    async def _call_stopped_cut(self, call, writer):
        self._stop(self._runs[call['id']])
        writer.transport.abort()

    async def _call_stopped_asleep(self, call, writer):
        self._stop(self._runs[call['id']])
        await asyncio.sleep(2 * _LATE_SECONDS)
        await self._fall_silent()

    async def _call_ok_asleep(self, call, writer):
        await self._call_ok(call, writer)
        await writer.drain()
        await asyncio.sleep(1.5 * _LATE_SECONDS)
        await self._fall_silent()

    async def _call_ok_crash(self, call, writer):
        await self._call_ok(call, writer)
        await writer.drain()
        await asyncio.sleep(1.5 * _LATE_SECONDS)
        await self._crash(None, None, writer)

    async def _call_asleep(self, call, writer):
        await self._fall_silent()

    async def _call_late_stop(self, call, writer):
        await self._fall_silent()
        self._stop(self._runs[call['id']])

    async def _call_later_stop(self, call, writer):
        await self._fall_silent()
        await asyncio.sleep(2 * EVENT_SECONDS)
        self._stop(self._runs[call['id']])

    async def _call_busy_once(self, call, writer):
        self.replies['again'] = 'ok'
        await self._call_busy(call, writer)

    async def _call_crash(self, call, writer):
        await self._crash(None, None, writer)

    async def _fall_silent(self):
        """Send nothing for a while, as an engine that the system suspends."""
        self._awake.clear()
        await asyncio.sleep(_SILENT_SECONDS)
        self._awake.set()

    def _stop(self, run):
        """Stop a run; the last event that it made is sent a while later."""
        if run.stopped:
            return
        run.made += 1
        self.made.append(run.made)
        run.stopped = True

    def _reply(self, writer, status, content):
        body = json.dumps(content).encode()
        head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)

    async def _answer(self, fields, reader, writer):
        made = int(fields.get('last-event-id', 0))
        if fields.get('kv-from'):
            made = self.copies.pop(fields['kv-from'].rpartition('/')[2], None)
            if made is None:
                await self._shed(fields, reader, writer)
                return
        await self._run(fields, writer, made)

    async def _shed_late(self, fields, reader, writer):
        await asyncio.sleep(2 * _LATE_SECONDS)
        await self._shed(fields, reader, writer)

    async def _answer_once(self, fields, reader, writer):
        await self._run(fields, writer, int(fields['last-event-id']), 1)

    async def _run(self, fields, writer, made, count=EVENTS):
        run = _Run(made)
        last = min(EVENTS, made + count)
        self._runs[fields['x-sardinetrack-request-id']] = run
        writer.write(self._stream_head(fields))
        while run.made < last and run.stopped is False:
            run.made += 1
            self.made.append(run.made)
            await self._write_event(fields, writer, run.made)
            await asyncio.sleep(EVENT_SECONDS)
            await self._awake.wait()
        if run.stopped is None:
            await asyncio.sleep(60)
        elif run.stopped:
            await asyncio.sleep(_LATE_SECONDS)
            self.event_form = self.late_form or self.event_form
            await self._write_event(fields, writer, run.made)
            writer.close()
        elif last < EVENTS:
            writer.transport.abort()
        else:
            self._end_stream(writer)

    async def _write_event(self, fields, writer, number):
        writer.write(self._framed(await self._event(fields, number)))
        await writer.drain()
