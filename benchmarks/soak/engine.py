"""A backend server that takes its time, dies and comes back as another."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.support.relay_servers import ScriptedServer

EVENTS = 12
EVENT_SECONDS = 0.04


class SoakServer(ScriptedServer):
    """Counts what it runs, over all its lives."""

    def __init__(self, ip: str, pool: str, runs: Counter[str]) -> None:
        """Serve at an address of its own."""
        super().__init__('')
        self.ip = ip
        self.pool = pool
        self.runs = runs
        self.lives = 0
        self.changing = asyncio.Lock()
        """Held while it dies and comes back; faults overlap."""
        self.keys: list[tuple[float, str]] = []
        """When a request of which workspace began to run."""

    async def start(self) -> None:
        """Begin a new life under a new id."""
        self.lives += 1
        self.instance = f'i-{self.ip}-{self.lives}'
        await self.open(self.ip)

    async def crash(self) -> None:
        """End at once, with everything under way."""
        await self.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _answer(self, fields, reader, writer):
        expected = fields.get('x-sardinetrack-expect-instance')
        if expected != self.instance:
            writer.write(b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n')
            return
        self.runs[fields['x-sardinetrack-request-id']] += 1
        workspace = fields.get('x-sardinetrack-tenant', '')
        self.keys.append((asyncio.get_running_loop().time(), workspace))
        if 'x-sardinetrack-token-count' not in fields:
            await asyncio.sleep(EVENT_SECONDS)
            self._whole(fields, writer, '200 OK', self._mark(fields))
            return
        await self._stream(fields, writer, EVENTS)
        writer.write(b'0\r\n\r\n')

    async def _event(self, fields, number):
        await asyncio.sleep(EVENT_SECONDS)
        return b'id: %d\ndata: %b %d\n\n' % (
            number,
            self._mark(fields),
            number,
        )

    def _mark(self, fields):
        # Who resumes a stream does so under another id of its own.
        name = fields.get('x-mark', fields['x-sardinetrack-request-id'])
        return name.encode()
