"""Callers that keep connections open, and checks of each response."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from random import Random

from benchmarks.soak.engine import EVENTS
from benchmarks.soak.world import World, address

_ROUTES = ('stream', 'once', 'fetch', 'report')
_AT_MOST_ONCE_ROUTES = frozenset(('once', 'report'))
_NOT_RUN = frozenset((408, 421, 429, 503))
KEYS = ('key-0', 'key-0', 'key-1', 'key-2', 'key-3')
_MAX_WAIT_SECONDS = 8.0
_MAX_REQUESTS = 4
"""For one stream, the one that begins it included."""
_MAX_WAIT_MILLISECONDS = 8000
_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class ResponseLog:
    """The responses that callers received, and the violated guarantees."""

    responses: Counter[str] = field(default_factory=Counter)
    not_run: list[str] = field(default_factory=list)
    at_most_once: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    slowest_seconds: float = 0

    def check(self, runs: Counter[str]) -> None:
        """Compare the runs with the responses.

        :param runs: number of runs by request.
        """
        for name in self.not_run:
            if runs[name]:
                self.violations.append(f'{name} was told "not run" and has run')
        for name in self.at_most_once:
            if runs[name] > 1:
                self.violations.append(f'{name} ran {runs[name]} times')


class Caller:
    """Sends requests one after the other, to randomly chosen entries."""

    def __init__(self, world: World, log: ResponseLog, seed: int) -> None:
        """Build a caller.

        :param seed: seed of everything drawn; also names its requests.
        """
        self._world = world
        self._log = log
        self._rng = Random(seed)
        self._names = (f'q{seed}-{number}' for number in count())
        self._connection: _Connection | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, 0.2))
            await self._call(next(self._names), self._rng.choice(_ROUTES))

    async def _call(self, name: str, route: str) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        if route in _AT_MOST_ONCE_ROUTES:
            self._log.at_most_once.append(name)
        try:
            async with asyncio.timeout(_MAX_WAIT_SECONDS):
                status, body, complete = await self._send(name, route)
        except (OSError, EOFError, TimeoutError):
            self._close()
            self._log.responses['no answer'] += 1
            return
        slowest = max(self._log.slowest_seconds, loop.time() - began)
        self._log.slowest_seconds = slowest
        self._check(name, route, status, body, complete=complete)
        if route == 'stream' and status == 200 and not complete:
            await self._take_up(name, body)

    async def _take_up(self, name: str, body: bytes) -> None:
        """Continue a stream at any entry, as often as it breaks."""
        for number in range(1, _MAX_REQUESTS):
            body = body[: body.rfind(b'\n\n') + 2]
            if not body:
                return
            self._close()
            outcome, more = await self._continue(name, number, body)
            self._log.responses[f'continued: {outcome}'] += 1
            body += more
            self._check_stream(name, body, complete=outcome == 'whole')
            if outcome == 'whole':
                return

    async def _continue(
        self, name: str, number: int, body: bytes
    ) -> tuple[str, bytes]:
        """Send one request that continues a stream.

        :return: how it ended, and the events that it brought.
        """
        last_event = _numbers(body)[-1]
        headers = (
            f'Resumes: {name}',
            f'Last-Event-Id: {last_event}',
        )
        try:
            async with asyncio.timeout(_MAX_WAIT_SECONDS):
                status, more, complete = await self._send(
                    name, 'stream', f'{name}.{number}', headers
                )
        except (OSError, EOFError, TimeoutError):
            self._close()
            return 'no answer', b''
        if status != 200:
            return str(status), b''
        return ('whole' if complete else 'cut'), more

    def _check(
        self, name: str, route: str, status: int, body: bytes, *, complete: bool
    ) -> None:
        log = self._log
        end = 'whole' if complete else 'cut'
        log.responses[f'{status} {end}'] += 1
        if status in _NOT_RUN and route in _AT_MOST_ONCE_ROUTES:
            log.not_run.append(name)
        if status != 200:
            return
        marks = set(re.findall(rb'q\d+-\d+', body))
        if marks - {name.encode()}:
            log.violations.append(f'{name} read the answer of {marks}')
        if route in {'stream', 'once'}:
            self._check_stream(name, body, complete=complete)

    def _check_stream(self, name: str, body: bytes, *, complete: bool) -> None:
        """Check what a caller has of a stream, over all its requests."""
        violations = self._log.violations
        numbers = _numbers(body)
        last = EVENTS if complete else len(numbers)
        if numbers != list(range(1, last + 1)):
            violations.append(f'{name} read events {numbers}')
        versions = set(re.findall(rb' (v\d)\n\n', body))
        if len(versions) > 1:
            violations.append(f'{name} read events of {versions}')

    async def _send(
        self,
        name: str,
        route: str,
        request_id: str = '',
        headers: tuple[str, ...] = (),
    ) -> tuple[int, bytes, bool]:
        reader, writer = await self._connected()
        writer.write(self._request(name, route, request_id or name, headers))
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        status = int(head.split(' ')[1])
        length = re.search(r'content-length: (\d+)', head)
        if length:
            complete = True
            body = await reader.readexactly(int(length.group(1)))
        else:
            body, complete = await _chunks(reader)
        if not complete or 'connection: close' in head:
            self._close()
        return status, body, complete

    async def _connected(self) -> _Connection:
        if self._connection is None or not self._rng.randrange(10):
            self._close()
            entry = self._rng.choice(self._world.entries)
            self._connection = await asyncio.open_connection(*address(entry))
        return self._connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None

    def _request(
        self,
        name: str,
        route: str,
        request_id: str,
        headers: tuple[str, ...],
    ) -> bytes:
        method = 'GET' if route == 'fetch' else 'POST'
        lines = [
            f'{method} /{route}/{name} HTTP/1.1',
            'Host: h.example',
            f'X-Sardinetrack-Request-Id: {request_id}',
            f'X-Mark: {name}',
            f'X-Sardinetrack-Deadline-Ms: {_MAX_WAIT_MILLISECONDS}',
            'Content-Length: 0',
            *headers,
        ]
        if route in {'stream', 'once'}:
            number = self._rng.randrange(20)
            first = f'p{number}'
            if self._world.moves.deadly.part and not self._rng.randrange(5):
                first = self._world.moves.deadly.part
            # Includes revoked keys: callers get no notice of a revocation.
            key = self._rng.choice(KEYS)
            lines.extend(
                (
                    'X-Sardinetrack-Token-Count: 900,300',
                    f'X-Sardinetrack-Prefix-Hash: {first}:600,{name}:300',
                    f'Authorization: Bearer {key}',
                ),
            )
        return '\r\n'.join((*lines, '', '')).encode()


async def _chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b''
    with suppress(EOFError, OSError):
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += piece[:-2]
    return body, False


def _numbers(body: bytes) -> list[int]:
    """Return the numbers of the events that a caller has."""
    return [int(one) for one in re.findall(rb'id: (\d+)', body)]
