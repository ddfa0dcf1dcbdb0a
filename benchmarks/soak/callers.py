"""Callers that keep connections, and hold each answer to the promises."""

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
_ONCE = frozenset(('once', 'report'))
_NOT_RUN = frozenset((408, 421, 429, 503))
KEYS = ('key-0', 'key-0', 'key-1', 'key-2', 'key-3')
_PATIENCE_SECONDS = 8.0
_PATIENCE_MILLISECONDS = 8000


@dataclass(slots=True)
class Ledger:
    """What callers were told, and what must not have been."""

    told: Counter[str] = field(default_factory=Counter)
    not_run: list[str] = field(default_factory=list)
    once: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    slowest_seconds: float = 0

    def check(self, runs: Counter[str]) -> None:
        """Hold what ran against what was told."""
        for name in self.not_run:
            if runs[name]:
                self.broken.append(f'{name} was told "not run" and has run')
        for name in self.once:
            if runs[name] > 1:
                self.broken.append(f'{name} ran {runs[name]} times')


class Caller:
    """Sends one request after the other to one entry after the other."""

    def __init__(self, world: World, ledger: Ledger, seed: int) -> None:
        """Draw from a seed."""
        self._world = world
        self._ledger = ledger
        self._draw = Random(seed)
        self._names = (f'q{seed}-{number}' for number in count())
        self._pair: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        self._pair = None

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            await asyncio.sleep(self._draw.uniform(0, 0.2))
            await self._call(next(self._names), self._draw.choice(_ROUTES))

    async def _call(self, name: str, route: str) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        if route in _ONCE:
            self._ledger.once.append(name)
        try:
            async with asyncio.timeout(_PATIENCE_SECONDS):
                status, body, whole = await self._exchange(name, route)
        except (OSError, EOFError, TimeoutError):
            self._drop()
            self._ledger.told['no answer'] += 1
            return
        took_seconds = loop.time() - began
        slowest = max(self._ledger.slowest_seconds, took_seconds)
        self._ledger.slowest_seconds = slowest
        self._judge(name, route, status, body, whole=whole)

    def _judge(
        self,
        name: str,
        route: str,
        status: int,
        body: bytes,
        *,
        whole: bool,
    ) -> None:
        ledger = self._ledger
        end = 'whole' if whole else 'cut'
        ledger.told[f'{status} {end}'] += 1
        if status in _NOT_RUN and route in _ONCE:
            ledger.not_run.append(name)
        if status != 200:
            return
        marks = set(re.findall(rb'q\d+-\d+', body))
        if marks - {name.encode()}:
            ledger.broken.append(f'{name} read the answer of {marks}')
        if route in {'stream', 'once'}:
            numbers = [int(one) for one in re.findall(rb'id: (\d+)', body)]
            last = EVENTS if whole else len(numbers)
            if numbers != list(range(1, last + 1)):
                ledger.broken.append(f'{name} read events {numbers}')

    async def _exchange(self, name: str, route: str) -> tuple[int, bytes, bool]:
        reader, writer = await self._connected()
        writer.write(self._request(name, route))
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        status = int(head.split(' ')[1])
        length = re.search(r'content-length: (\d+)', head)
        if length:
            body, whole = await reader.readexactly(int(length.group(1))), True
        else:
            body, whole = await _chunks(reader)
        if not whole or 'connection: close' in head:
            self._drop()
        return status, body, whole

    async def _connected(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._pair is None or not self._draw.randrange(10):
            self._drop()
            entry = self._draw.choice(self._world.entries)
            self._pair = await asyncio.open_connection(*address(entry))
        return self._pair

    def _drop(self) -> None:
        if self._pair is not None:
            self._pair[1].close()
        self._pair = None

    def _request(self, name: str, route: str) -> bytes:
        method = 'GET' if route == 'fetch' else 'POST'
        lines = [
            f'{method} /{route}/{name} HTTP/1.1',
            'Host: h.example',
            f'X-Sardinetrack-Request-Id: {name}',
            f'X-Mark: {name}',
            f'X-Sardinetrack-Deadline-Ms: {_PATIENCE_MILLISECONDS}',
            'Content-Length: 0',
        ]
        if route in {'stream', 'once'}:
            part = self._draw.randrange(20)
            # Also such as were taken away: nobody tells the callers.
            key = self._draw.choice(KEYS)
            lines.extend(
                (
                    'X-Sardinetrack-Token-Count: 900,60',
                    f'X-Sardinetrack-Prefix-Hash: p{part}:600,{name}:300',
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
