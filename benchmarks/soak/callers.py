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
from benchmarks.soak.losses import UNENDED, Cut
from benchmarks.soak.world import World, address

_ROUTES = ('stream', 'once', 'fetch', 'report')
_KEYED_ROUTES = frozenset(('stream', 'once'))
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
    cuts: list[Cut] = field(default_factory=list)
    """Requests that were sent and whose responses aren't complete."""
    taken: dict[str, Cut] = field(default_factory=dict)
    """All requests that were sent, by id."""
    late: Counter[str] = field(default_factory=Counter)
    """Requests that reached a leaving server late, by whether their entry was
    bound."""
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
        self._number = seed
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
        status, body, complete = await self._send(name, route)
        if not status:
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
        status, more, complete = await self._send(
            name, 'stream', f'{name}.{number}', headers
        )
        if not status:
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
        if route in _KEYED_ROUTES:
            self._check_stream(name, body, complete=complete)
        elif complete and body != name.encode():
            log.violations.append(f'{name} read {body!r} as complete')

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
        """Send a request and read the response.

        :return: status (0 if no whole head or no end came), body, and whether
            that is complete.
        """
        request_id = request_id or name
        request = self._request(name, route, request_id, headers)
        cut = Cut(request_id, '', route in _KEYED_ROUTES, 'no response')
        status, body, complete = 0, b'', False
        try:
            async with asyncio.timeout(_MAX_WAIT_SECONDS):
                status, body, complete = await self._exchange(request, cut)
        except TimeoutError:
            cut.outcome = UNENDED
        except (OSError, EOFError) as error:
            cut.outcome = f'{cut.outcome}, {type(error).__name__}'
        if not complete:
            self._close()
        if cut.entry and not complete:
            cut.ended_seconds = asyncio.get_running_loop().time()
            self._log.cuts.append(cut)
        return status, body, complete

    async def _exchange(
        self, request: bytes, cut: Cut
    ) -> tuple[int, bytes, bool]:
        reader, writer = await self._connected()
        cut.entry = str(writer.get_extra_info('peername')[0])
        cut.began_seconds = asyncio.get_running_loop().time()
        self._log.taken[cut.request_id] = cut
        writer.write(request)
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        cut.outcome = 'incomplete response'
        status = int(head.split(' ')[1])
        length = re.search(r'content-length: (\d+)', head)
        if length:
            complete = True
            body = await reader.readexactly(int(length.group(1)))
        else:
            body, complete = await _chunks(reader)
        if 'connection: close' in head:
            self._close()
        return status, body, complete

    async def _connected(self) -> _Connection:
        # Half of the callers stay at their entry until it closes.
        leaves = self._number % 2 and not self._rng.randrange(10)
        if leaves or (self._connection and self._connection[0].at_eof()):
            self._close()
        if self._connection is None:
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
        if route in _KEYED_ROUTES:
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
