"""Cost of a control link at each of its two ends.

The two ends run in two threads with separate event loops, so that the kernel
counts the processor time of each separately.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Final

import anyio

from benchmarks.probe.processor import resident_bytes
from benchmarks.probe.table import Spread
from benchmarks.slopes import samples
from benchmarks.slopes.figure import Figure
from sardinetrack.http.server import serve
from sardinetrack.links.api import (
    Hello,
    Link,
    LinkEvent,
    LinkMessageReceived,
    LinkUp,
    PeerRole,
)
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.secret import PeerSecret
from sardinetrack.links.server import LinkAcceptor
from sardinetrack.messages.api import Grant, LinkMessage

LINKS: Final = (100, 300)
MESSAGES: Final = 1000
IDLE_SECONDS: Final = 4.0
RUNS: Final = 3
_SEND_INTERVAL_SECONDS: Final = 0.001
_IP: Final = '127.0.0.1'
_SECRET: Final = PeerSecret('benchmark')
_MICROSECONDS: Final = 1_000_000
_MAX_EVENTS: Final = 4096


@dataclass(frozen=True, slots=True)
class Ends:
    """Processor seconds of the two ends."""

    dialer: float
    acceptor: float

    def since(self, earlier: Ends) -> Ends:
        """Return the difference to an earlier measurement."""
        return Ends(
            self.dialer - earlier.dialer,
            self.acceptor - earlier.acceptor,
        )


class Acceptor:
    """A thread that accepts links and discards the messages that arrive."""

    def __init__(self) -> None:
        """Start the thread and wait until it listens."""
        self.address = ''
        self.received = 0
        self._listening = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=anyio.run, args=(self._run,))
        self._thread.start()
        self._listening.wait()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._thread.join()

    def seconds(self) -> float:
        """Return the thread's processor time."""
        ident = self._thread.ident or 0
        return time.clock_gettime(time.pthread_getcpuclockid(ident))

    async def _run(self) -> None:
        send, receive = anyio.create_memory_object_stream[LinkEvent](
            _MAX_EVENTS
        )
        acceptor = LinkAcceptor(_hello(0), _SECRET, send)
        async with serve(acceptor, _IP, 0) as server:
            self.address = server.address
            self._listening.set()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._count, receive)
                await anyio.to_thread.run_sync(self._stop.wait)
                tasks.cancel_scope.cancel()

    async def _count(self, events: AsyncIterator[LinkEvent]) -> None:
        async for event in events:
            self.received += isinstance(event, LinkMessageReceived)


def measure() -> Iterator[Figure]:
    """Measure the costs of messages and of idle links."""
    with _running_acceptor() as acceptor:
        for name, size, message in _messages():
            runs = [anyio.run(_send, acceptor, message) for _ in range(RUNS)]
            yield from _both_ends(name, size, 'us', runs, MESSAGES)
        empty = anyio.run(_idle, acceptor, 0)
        for links in LINKS:
            yield _memory(acceptor, links)
            yield from _idle_cost(acceptor, links, empty)


def _memory(acceptor: Acceptor, links: int) -> Figure:
    memory = Spread.of([anyio.run(_resident, acceptor, links)])
    return Figure('link, both ends', f'{links} links', 'bytes resident', memory)


def _idle_cost(
    acceptor: Acceptor,
    links: int,
    empty: Ends,
) -> Iterator[Figure]:
    idle = [anyio.run(_idle, acceptor, links) for _ in range(RUNS)]
    runs = [one.since(empty) for one in idle]
    link_seconds = links * IDLE_SECONDS
    yield from _both_ends(
        'idle link', f'{links} links', 'us/s', runs, link_seconds
    )


def _messages() -> Iterator[tuple[str, str, LinkMessage]]:
    yield 'link message', 'Grant', Grant(123_456, 0.25)
    yield 'link message', 'Bids, 10 rows', samples.bids(10)
    yield 'link message', 'ServiceReport, 100 rows', samples.report(100)
    yield 'link message', 'ServiceReport, 850 rows', samples.report(850)


def _both_ends(
    name: str,
    size: str,
    unit: str,
    runs: list[Ends],
    parts: float,
) -> Iterator[Figure]:
    dialers = [one.dialer / parts * _MICROSECONDS for one in runs]
    acceptors = [one.acceptor / parts * _MICROSECONDS for one in runs]
    yield Figure(f'{name}, sender', size, unit, Spread.of(dialers))
    yield Figure(f'{name}, receiver', size, unit, Spread.of(acceptors))


async def _send(acceptor: Acceptor, message: LinkMessage) -> Ends:
    """Send messages one by one, as the daemons do."""
    async with _links(acceptor, 1) as links:
        before = _read(acceptor)
        target = acceptor.received + MESSAGES
        for _ in range(MESSAGES):
            links[0].post(message)
            await anyio.sleep(_SEND_INTERVAL_SECONDS)
        await _wait_received(acceptor, target)
        return _read(acceptor).since(before)


async def _wait_received(acceptor: Acceptor, target: int) -> None:
    for _ in range(MESSAGES):
        if acceptor.received >= target:
            return
        await anyio.sleep(_SEND_INTERVAL_SECONDS)
    raise TimeoutError(acceptor.received)


async def _idle(acceptor: Acceptor, count: int) -> Ends:
    async with _links(acceptor, count):
        before = _read(acceptor)
        await anyio.sleep(IDLE_SECONDS)
        return _read(acceptor).since(before)


async def _resident(acceptor: Acceptor, count: int) -> float:
    before = resident_bytes(os.getpid())
    async with _links(acceptor, count):
        return (resident_bytes(os.getpid()) - before) / count


@asynccontextmanager
async def _links(acceptor: Acceptor, count: int) -> AsyncIterator[list[Link]]:
    send, receive = anyio.create_memory_object_stream[LinkEvent](_MAX_EVENTS)
    links: list[Link] = []
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            dialer = LinkDialer(
                acceptor.address,
                _hello(number + 1),
                _SECRET,
                send,
            )
            tasks.start_soon(dialer.run)
        while len(links) < count:
            event = await receive.receive()
            if isinstance(event, LinkUp):
                links.append(event.link)
        yield links
        tasks.cancel_scope.cancel()


def _read(acceptor: Acceptor) -> Ends:
    return Ends(time.thread_time(), acceptor.seconds())


@contextmanager
def _running_acceptor() -> Iterator[Acceptor]:
    acceptor = Acceptor()
    try:
        yield acceptor
    finally:
        acceptor.stop()


def _hello(number: int) -> Hello:
    return Hello(f'entry-{number}', PeerRole.ENTRY, samples.INCARNATION, 'hall')
