"""A slow backend server that crashes and restarts under a new id."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.support.relay_servers import ScriptedServer

EVENTS = 12
EVENT_SECONDS = 0.04


class SoakServer(ScriptedServer):
    """Counts its runs over all its starts."""

    def __init__(self, ip: str, pool: str, runs: Counter[str]) -> None:
        """Build a server that is not started.

        :param ip: its own IP address.
        :param pool: its pool.
        :param runs: counts the runs by request, for all servers.
        """
        super().__init__('')
        self.ip = ip
        self.pool = pool
        self.runs = runs
        self.starts = 0
        self.restart_lock = asyncio.Lock()
        """Held during a crash and the restart, because faults overlap."""
        self.run_starts: list[tuple[float, str]] = []
        """Start time and workspace of each run."""

    async def start(self) -> None:
        """Start, or start again, under a new id."""
        self.starts += 1
        self.instance = f'i-{self.ip}-{self.starts}'
        await self.open(self.ip)

    async def crash(self) -> None:
        """Stop immediately and abort all connections."""
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
        self.run_starts.append((asyncio.get_running_loop().time(), workspace))
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
        # A request that resumes a stream has another request id.
        name = fields.get('x-mark', fields['x-sardinetrack-request-id'])
        return name.encode()
