"""A slow backend server that crashes, fails, stutters or asks for rest."""

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
        self.responds_twice = False
        """Sends a second response where the next one is due."""
        self.fails = False
        """Runs requests and responds with a failure."""
        self.rest_until_seconds = float('-inf')
        """Turns requests away until then, on the clock of the event loop."""

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
        rest_seconds = self.rest_until_seconds - _now()
        if rest_seconds > 0:
            self._turn_away(fields, writer, rest_seconds)
            return
        self.runs[fields['x-sardinetrack-request-id']] += 1
        workspace = fields.get('x-sardinetrack-tenant', '')
        self.run_starts.append((_now(), workspace))
        if self.fails:
            self._whole(fields, writer, '500 Oops', b'broken')
            return
        if 'x-sardinetrack-token-count' not in fields:
            await asyncio.sleep(EVENT_SECONDS)
            response = self._response(fields, '200 OK', self._mark(fields))
            writer.write(response)
            if self.responds_twice:
                self._late[writer] = response
            return
        await self._stream(fields, writer, EVENTS)
        writer.write(b'0\r\n\r\n')

    def _turn_away(self, fields, writer, rest_seconds):
        request_id = fields['x-sardinetrack-request-id']
        writer.write(
            b'HTTP/1.1 503 Full\r\nX-Sardinetrack-Not-Processed: 1\r\n'
            b'X-Sardinetrack-Request-Id: %b\r\nRetry-After: %.3f\r\n'
            b'Content-Length: 0\r\n\r\n' % (request_id.encode(), rest_seconds)
        )

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


def _now():
    return asyncio.get_running_loop().time()
