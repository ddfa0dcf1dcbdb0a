"""Stand-in of a server: ``server.py SETTINGS``, a JSON file.

It is a plain service, or a model engine if ``model`` is set. It registers in
the store and renews its entry every heartbeat. SIGTERM is a planned shutdown:
it reports ``draining``, goes on serving for ``drain_s`` and ``more_s``, takes
no more connections, ends what runs and exits. Each request that reaches it is
written to its log, with the time.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import sys
import time
from pathlib import Path

from http1 import Request, read_head, read_request, response

HEARTBEAT_SECONDS = 1.2
FIRST_EVENT_SECONDS = 0.03


class Server:
    """One start of a server."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.state = 'ready'
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)
        self.running: dict[str, int] = {}
        self.tasks: set[asyncio.Task] = set()
        self.log = Path(settings['log']).open('a', encoding='utf-8')
        self.leaving = asyncio.Event()

    def note(self, what: str, **fields: object) -> None:
        """Write a line to the log."""
        line = {'t': time.monotonic(), 'server': self.settings['id'], 'what': what}
        self.log.write(json.dumps({**line, **fields}) + '\n')
        self.log.flush()

    async def register(self) -> None:
        """Write the entry in the store; return once it is accepted."""
        self.sequence += 1
        one = self.settings
        spec = {
            'service': one['service'],
            'address': one['address'],
            'zone': one['zone'],
            'version': 'v1',
            'slots': one['slots'],
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self.sequence,
        }
        if one['born']:
            spec['born'] = self.started_ms
        if one.get('model'):
            models = [{'name': 'm', 'version': 1, 'loraAdapters': []}]
            spec.update(phase='both', models=models)
        status = await call_store(one['store'], 'PUT', f"servers/{one['id']}", spec)
        if status != 200:
            raise ValueError(f'the store answered {status}')

    async def beat(self) -> None:
        """Renew the entry."""
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.tasks.add(asyncio.current_task())
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        path = request.target.partition('?')[0]
        if path == '/v1/report':
            writer.write(response(200, [], json.dumps(self._report()).encode()))
            return
        if path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            writer.write(response(status, self._load(), b''))
            return
        headers = request.headers
        request_id = headers.get('x-sardinetrack-request-id', '')
        fields = {
            'id': request_id,
            'tenant': headers.get('x-sardinetrack-tenant'),
            'after': headers.get('last-event-id'),
        }
        own = [('X-Sardinetrack-Request-Id', request_id)]
        expected = headers.get('x-sardinetrack-expect-instance')
        if not request_id or (expected and expected != self.settings['id']):
            self.note('rejected', **fields)
            own.append(('X-Sardinetrack-Not-Processed', '1'))
            writer.write(response(421 if request_id else 400, own, b''))
            return
        self.note('run', **fields)
        self.running[request_id] = 0
        own += [('X-Sardinetrack-Server-Stamp', self._stamp(request)), *self._load()]
        try:
            if self.settings.get('model'):
                await self._stream(request, own, writer)
            else:
                await asyncio.sleep(self.settings['work_ms'] / 1000)
                body = json.dumps({'done': request_id, 'by': self.settings['id']})
                writer.write(response(200, own, body.encode()))
            self.note('ended', id=request_id)
        finally:
            self.running.pop(request_id, None)

    async def _stream(
        self,
        request: Request,
        own: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> None:
        texts = self.settings['texts']
        count = self.settings['events']
        after = int(request.headers.get('last-event-id') or 0)
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {content}' for name, content in own]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        for number in range(after + 1, count + 1):
            request_id = request.headers['x-sardinetrack-request-id']
            self._check_stopped(request_id, number - 1)
            text = texts[(number - 1) % len(texts)]
            event = f'id: {number}\ndata: {text}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
            self.running[request_id] = number
            await asyncio.sleep(self.settings['gap_ms'] / 1000)
        writer.write(b'0\r\n\r\n')

    def _check_stopped(self, request_id: str, made: int) -> None:
        """Raise if the run was stopped; only engines that move streams do."""

    def _stamp(self, request: Request) -> str:
        digest = hashlib.sha256(request.body + self.settings['id'].encode())
        return digest.hexdigest()[:24]

    def _load(self) -> list[tuple[str, str]]:
        load = f"{len(self.running)},0,{self.settings['slots']}"
        return [('X-Sardinetrack-Server-Load', load)]

    def _report(self) -> dict:
        born = {'born': self.started_ms} if self.settings['born'] else {}
        return {
            **born,
            'phase': 'both',
            'models': [{'name': 'm', 'version': 1, 'loraAdapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': len(self.running),
            'kvUsed': 0,
            'kvTotal': 500_000,
            'kvHandles': 0,
            'pinned': 0,
            'held': 0,
            'state': self.state,
            'next': 0,
            'runs': [[one, 100, made, 1] for one, made in self.running.items()],
        }


async def call_store(store: str, method: str, key: str, spec: object) -> int:
    """Write or remove an object; return the status."""
    ip, _, port = store.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        name = key.partition('/')[2]
        body = json.dumps({'metadata': {'name': name}, 'spec': spec}).encode()
        head = (
            f'{method} /v1/objects/{key} HTTP/1.1\r\nHost: {store}\r\n'
            f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        return (await read_head(reader)).status
    finally:
        writer.close()


async def main(settings: dict, kind: type[Server] = Server) -> None:
    """Serve until a planned shutdown has ended."""
    server = kind(settings)
    ip, _, port = settings['address'].rpartition(':')
    listener = await asyncio.start_server(server.serve, ip, int(port))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, server.leaving.set)
    beats = asyncio.create_task(server.beat())
    await server.leaving.wait()
    server.state = 'draining'
    await server.register()
    server.note('draining acknowledged')
    await asyncio.sleep(settings['drain_s'] + settings['more_s'])
    listener.close()
    beats.cancel()
    await call_store(settings['store'], 'DELETE', f"servers/{settings['id']}", None)
    until = loop.time() + 2
    while server.running and loop.time() < until:
        await asyncio.sleep(0.02)
    server.note('exits', running=len(server.running))


if __name__ == '__main__':
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text(encoding='utf-8'))))
