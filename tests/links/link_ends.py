"""Both ends of control links, for the steps."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any, Final

import anyio

from sardinetrack.http.server import serve
from sardinetrack.links.api import (
    Hello,
    LinkDown,
    LinkLimits,
    LinkMessageReceived,
    LinkUp,
    PeerRole,
)
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.secret import PeerSecret
from sardinetrack.links.server import LinkAcceptor

SECRET: Final = 'winter-harbour'
BOUNDS: Final = LinkLimits(
    heartbeat_interval_seconds=0.1,
    heartbeat_timeout_seconds=0.5,
    open_timeout_seconds=1.0,
    max_retry_seconds=0.2,
    outbox_messages=8,
)
WAIT_SECONDS: Final = 15.0


def hello(instance: str, role: PeerRole) -> Hello:
    return Hello(instance, role, f'{instance}-first', 'galata')


class LinkEnd:
    """One daemon's end of its links; collects their events."""

    def __init__(self) -> None:
        streams = anyio.create_memory_object_stream[Any](1000)
        self.sink = streams[0]
        self._events = streams[1]
        self.event_types: list[type] = []
        self.dialer: LinkDialer | None = None

    async def unread_count(self) -> int:
        """Return the number of events that are not read yet."""
        return self._events.statistics().current_buffer_used

    async def next_event(self, event_type: type) -> Any:
        """Return the next event of a type; skip the others."""
        with anyio.fail_after(WAIT_SECONDS):
            while True:
                event = await self._events.receive()
                self.event_types.append(type(event))
                if isinstance(event, event_type):
                    return event

    async def up(self) -> LinkUp:
        """Wait until a link opens."""
        return await self.next_event(LinkUp)

    async def down(self) -> LinkDown:
        """Wait until a link closes."""
        return await self.next_event(LinkDown)

    async def messages(self, count: int) -> list[Any]:
        """Wait for a number of messages."""
        return [
            (await self.next_event(LinkMessageReceived)).message
            for _ in range(count)
        ]


@asynccontextmanager
async def accept_links(
    end: LinkEnd, bounds: LinkLimits = BOUNDS
) -> AsyncIterator:
    """Accept links as a side."""
    acceptor = LinkAcceptor(
        hello('side-1', PeerRole.SIDE),
        PeerSecret(SECRET),
        end.sink,
        bounds=bounds,
    )
    async with serve(acceptor, '127.0.0.1', 0) as server:
        yield server


@asynccontextmanager
async def dial_side(
    end: LinkEnd,
    address: str,
    secret: str = SECRET,
    bounds: LinkLimits = BOUNDS,
) -> AsyncIterator[None]:
    """Keep an entry's link to the side open."""
    dialer = LinkDialer(
        address,
        hello('entry-1', PeerRole.ENTRY),
        PeerSecret(secret),
        end.sink,
        bounds=bounds,
        rng=Random(7),
    )
    end.dialer = dialer
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(dialer.run)
        yield
        tasks.cancel_scope.cancel()


class SideProcess:
    """A process that accepts links, and that signals can freeze."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, __file__],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.address = self.process.stdout.readline().strip()

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


async def _accept_until_killed() -> None:
    async with accept_links(LinkEnd()) as server:
        sys.stdout.write(f'{server.address}\n')
        sys.stdout.flush()
        await anyio.sleep_forever()


if __name__ == '__main__':
    anyio.run(_accept_until_killed)
