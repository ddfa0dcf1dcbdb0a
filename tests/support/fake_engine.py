"""A model engine on loopback that only reports, as its features say."""

from __future__ import annotations

import asyncio
import json
from collections import deque

_IP = '127.0.0.1'
_NO_END = 'a response without its end'
_LONG_BODY_BYTES = 2_000_000


class FakeEngine:
    """Serves reports; each fault in ``faults`` replaces one response."""

    def __init__(self):
        self.state = {
            'queued': 0,
            'active': 1,
            'runs': [['r1', 700, 20, 5]],
            'born': 100,
        }
        self.faults = deque()
        self.requests = 0
        self.opened = 0
        self.writers = set()
        self.port = 0

    async def listen(self):
        self._server = await asyncio.start_server(self._serve, _IP, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.opened += 1
        self.writers.add(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.requests += 1
                await self._respond(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def _respond(self, writer):
        fault = self.faults.popleft() if self.faults else ''
        if fault == 'a response after 0.4 seconds':
            await asyncio.sleep(0.4)
        writer.write(_frame(fault, self._body(fault)))
        if fault == _NO_END:
            writer.close()

    def _body(self, fault):
        body = json.dumps(self.state).encode()
        if fault == 'a report without active':
            return body.replace(b'active', b'other')
        if fault == 'a body of 2 MB':
            return body.ljust(_LONG_BODY_BYTES)
        if fault == 'a response after 0.4 seconds':
            return body.replace(b'"queued": 0', b'"queued": 7')
        return body


def _frame(fault, body):
    status = b'503 Busy' if fault == 'status 503' else b'200 OK'
    head = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n'
    response = head % (status, len(body)) + body
    if fault == 'a second response':
        return response * 2
    if fault == 'bytes that are no HTTP':
        return body
    return response[:-5] if fault == _NO_END else response
