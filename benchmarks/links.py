"""Processor time of one control message: a link compared with POST requests.

Both ends run in this process, so each figure includes sender and receiver. The
transports take turns within one run; the figure of a transport is the median
of its rounds. Run ``python benchmarks/links.py``.
"""

from __future__ import annotations

import argparse
import statistics
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.http.client import HttpClient
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
from sardinetrack.messages.api import BidRow, Bids, LinkMessage
from sardinetrack.messages.codec import decode, encode

SECRET = PeerSecret('benchmark')
SIDE = Hello('side-1', PeerRole.SIDE, 'first', 'galata')
MICROSECONDS = 1_000_000
BURST = 10
ROWS = 16
WARM_UP = 200
ROW = '{:20} median {:7.1f} us, {:7.1f} to {:7.1f}, POST / this {:5.1f}'
IDLE_ROW = '{} idle links: {:.0f} us a second for each, both ends'


@dataclass(frozen=True, slots=True)
class Options:
    """Options of the measurement."""

    rounds: int
    messages: int
    idle_links: int
    idle_seconds: float


class Transport(ABC):
    """A transport of messages from one end to the other."""

    name: str

    @abstractmethod
    async def carry(self, message: LinkMessage, count: int) -> None:
        """Send messages; return when the other end has decoded all."""


class LinkTransport(Transport):
    """Messages on a link, several in one iteration of the event loop."""

    def __init__(
        self,
        link: Link,
        received: MemoryObjectReceiveStream[LinkEvent],
        burst: int,
    ) -> None:
        """Build a transport over an open link.

        :param link: the sender's end.
        :param received: events at the receiver.
        :param burst: number of messages in one iteration of the event loop.
        """
        self.name = f'link, {burst} in a turn'
        self._link = link
        self._received = received
        self._burst = burst

    async def carry(self, message: LinkMessage, count: int) -> None:
        """Post bursts, each after the previous one was received."""
        for _ in range(count // self._burst):
            for _ in range(self._burst):
                self._link.post(message)
            await self._arrived()

    async def _arrived(self) -> None:
        missing = self._burst
        while missing:
            event = await self._received.receive()
            missing -= isinstance(event, LinkMessageReceived)


class PostTransport(Transport):
    """One POST for each message over a keep-alive connection."""

    name = 'POST for each'

    def __init__(self, client: HttpClient, url: str) -> None:
        """Build a transport to a ``MessageEndpoint`` at a URL."""
        self._client = client
        self._url = url

    async def carry(self, message: LinkMessage, count: int) -> None:
        """Send the messages one after the other."""
        for _ in range(count):
            await self._client.call(
                'POST',
                self._url,
                headers=[SECRET.header()],
                body=encode(message),
            )


class MessageEndpoint:
    """Receives one message in each POST request."""

    def __init__(self, received: MemoryObjectSendStream[LinkMessage]) -> None:
        """Build an endpoint that forwards messages, as a link does."""
        self._received = received

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Decode a message and acknowledge it."""
        exchange = HttpExchange(scope, receive, send)
        SECRET.matches(exchange.header('authorization'))
        body = await exchange.body(1_000_000, 5)
        await self._received.send(decode(body))
        await exchange.respond(204)


def _events() -> tuple[
    MemoryObjectSendStream[LinkEvent],
    MemoryObjectReceiveStream[LinkEvent],
]:
    return anyio.create_memory_object_stream[LinkEvent](1000)


@dataclass(frozen=True, slots=True)
class OpenLinks:
    """Links of many entries to one side."""

    entry_links: list[Link]
    side_events: MemoryObjectReceiveStream[LinkEvent]
    """Events at the side."""


@asynccontextmanager
async def _links(count: int) -> AsyncIterator[OpenLinks]:
    entry_sink, entry_events = _events()
    side_sink, side_events = _events()
    acceptor = LinkAcceptor(SIDE, SECRET, side_sink)
    async with (
        serve(acceptor, '127.0.0.1', 0) as server,
        anyio.create_task_group() as tasks,
    ):
        for number in range(count):
            hello = Hello(f'entry-{number}', PeerRole.ENTRY, 'first', 'galata')
            dialer = LinkDialer(server.address, hello, SECRET, entry_sink)
            tasks.start_soon(dialer.run)
        yield OpenLinks(
            [await _next_link(entry_events) for _ in range(count)],
            side_events,
        )
        tasks.cancel_scope.cancel()


async def _next_link(events: MemoryObjectReceiveStream[LinkEvent]) -> Link:
    while True:
        event = await events.receive()
        if isinstance(event, LinkUp):
            return event.link


@asynccontextmanager
async def _post_transport() -> AsyncIterator[Transport]:
    sink, received = anyio.create_memory_object_stream[LinkMessage](1000)
    async with (
        serve(MessageEndpoint(sink), '127.0.0.1', 0) as server,
        HttpClient() as client,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(_read_all, received)
        yield PostTransport(client, server.url)
        tasks.cancel_scope.cancel()


async def _read_all(received: MemoryObjectReceiveStream[LinkMessage]) -> None:
    while True:
        await received.receive()


async def _round(
    transport: Transport, message: LinkMessage, count: int
) -> float:
    began = time.process_time()
    await transport.carry(message, count)
    spent_seconds = time.process_time() - began
    return spent_seconds / count * MICROSECONDS


def _message() -> LinkMessage:
    rows = tuple(
        BidRow(f'workspace-{number}', 1234.5 + number, number, 210.25)
        for number in range(ROWS)
    )
    return Bids('ice-llm', 17, rows)


async def _compare(transports: Sequence[Transport], options: Options) -> None:
    message = _message()
    figures: dict[str, list[float]] = {
        transport.name: [] for transport in transports
    }
    for transport in transports:
        await transport.carry(message, WARM_UP)
    for _ in range(options.rounds):
        for transport in transports:
            spent = await _round(transport, message, options.messages)
            figures[transport.name].append(spent)
    _print_figures(figures, len(encode(message)))


def _print_figures(figures: dict[str, list[float]], size: int) -> None:
    post = statistics.median(figures[PostTransport.name])
    print(f'message of {size} bytes; processor time, both ends')
    for name, spent in figures.items():
        middle = statistics.median(spent)
        row = ROW.format(name, middle, min(spent), max(spent), post / middle)
        print(row)


async def _measure_idle(options: Options) -> None:
    async with _links(options.idle_links):
        await anyio.sleep(1)
        began = time.process_time()
        await anyio.sleep(options.idle_seconds)
        spent_seconds = time.process_time() - began
    each = spent_seconds / options.idle_seconds / options.idle_links
    print(IDLE_ROW.format(options.idle_links, each * MICROSECONDS))


async def _main(options: Options) -> None:
    async with _links(1) as links, _post_transport() as post:
        link = links.entry_links[0]
        transports = [
            LinkTransport(link, links.side_events, 1),
            LinkTransport(link, links.side_events, BURST),
            post,
        ]
        await _compare(transports, options)
    await _measure_idle(options)


def _options() -> Options:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=9)
    parser.add_argument('--messages', type=int, default=1000)
    parser.add_argument('--idle-links', type=int, default=100)
    parser.add_argument('--idle-seconds', type=float, default=10)
    return Options(**vars(parser.parse_args()))


if __name__ == '__main__':
    anyio.run(_main, _options())
