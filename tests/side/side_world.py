"""A side with a scripted backend server, for the steps."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, Final

import anyio
import msgspec
from side_backend import INCARNATION, POOL, Backend
from side_fakes import FakeAdmission, FakeConfiguration

from sardinetrack.catalogue.api import Pool
from sardinetrack.config.model import SideSettings
from sardinetrack.http.client import (
    BrokenError,
    HttpClient,
    Reply,
)
from sardinetrack.http.server import BoundServer, serving
from sardinetrack.links.api import Hello, LinkBounds, PeerRole
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.run_reply import RunReply
from sardinetrack.links.secret import PeerSecret
from sardinetrack.messages.run import (
    ATTEMPT_PATH,
    RUN_HEADER,
    RUN_PATH,
    AttemptAnswer,
    AttemptQuery,
    Fate,
    RunOrder,
)
from sardinetrack.messages.run_codec import order_text
from sardinetrack.side.daemon import Side
from sardinetrack.side.parts import SideParts

SECRET: Final = PeerSecret('winter-harbour')
WAIT_SECONDS: Final = 15.0
PAUSE_SECONDS: Final = 0.01
MOST_TRIES: Final = 1500


class World:
    """A running side and what the steps need of it."""

    def __init__(
        self,
        side: Side,
        backend: Backend,
        server: BoundServer,
        parts: SideParts,
    ) -> None:
        self.side = side
        self.server = server
        self.backend = backend
        self.parts = parts
        self.admission: Any = parts.admission
        self.client = HttpClient()
        streams = anyio.create_memory_object_stream[Any](1000)
        self.sink = streams[0]
        self.events = streams[1]

    def peer_url(self, path: str) -> str:
        """Build the address of a peer endpoint."""
        return self.side.peer.url + path

    def operator_url(self, path: str) -> str:
        """Build the address of an operator endpoint."""
        return self.side.operator.url + path

    async def order(self, order: RunOrder, body: bytes = b'') -> Any:
        """Send an order; read the whole answer."""
        async with self.streamed(order, body) as reply:
            status, answer = reply.status, reply.run_result
            body = await read_all(reply.chunks())
            return Answered(status, answer, reply.headers, body)

    @asynccontextmanager
    async def streamed(
        self, order: RunOrder, body: bytes = b''
    ) -> AsyncIterator[RunReply]:
        """Send an order; hand out its answer while it arrives."""
        async with self.client.stream(
            'POST',
            self.peer_url(RUN_PATH),
            headers=[SECRET.header(), (RUN_HEADER, order_text(order))],
            body=body,
        ) as reply:
            yield RunReply(reply)

    async def ask(
        self,
        attempt_id: str,
        incarnation: str = INCARNATION,
        cancel: bool = False,
    ) -> Fate:
        """Ask for the fate of an attempt."""
        query = AttemptQuery(attempt_id, incarnation, cancel)
        reply = await self.client.call(
            'POST',
            self.peer_url(ATTEMPT_PATH + attempt_id),
            headers=[SECRET.header()],
            body=msgspec.json.encode(query),
        )
        return msgspec.json.decode(reply.body, type=AttemptAnswer).fate

    async def get(self, url: str, *pairs: tuple[str, str]) -> Reply:
        """Read a page."""
        return await self.client.call('GET', url, headers=pairs)

    async def until(self, holds: Any) -> None:
        """Wait for a condition, with a bound."""
        for _ in range(MOST_TRIES):
            if holds():
                return
            await anyio.sleep(PAUSE_SECONDS)
        raise AssertionError('it never came to hold')

    async def next(self, kind: type, matches: Any = bool) -> Any:
        """Skip link events up to one that matches."""
        with anyio.fail_after(WAIT_SECONDS):
            while True:
                event = await self.events.receive()
                if isinstance(event, kind) and matches(event):
                    return event


class Answered(msgspec.Struct):
    """A whole answer to an order."""

    status: int
    run_result: Any
    headers: Any
    body: bytes | None
    """``None`` when it broke."""


async def read_all(pieces: AsyncIterator[bytes]) -> bytes | None:
    """Read to the end; ``None`` when it broke."""
    try:
        with anyio.fail_after(WAIT_SECONDS):
            return b''.join([chunk async for chunk in pieces])
    except BrokenError:
        return None


def settings(backend_url: str) -> SideSettings:
    return SideSettings.model_validate(
        {
            'instance': 'side-1',
            'failure_domain': 'galata',
            'platform': {
                'url': 'http://127.0.0.1:9',
                'token': {'value': 'platform-token'},
            },
            'peer_secret': {'value': 'winter-harbour'},
            'drain_seconds': 20,
            'pool': POOL.name,
            'backend_server': 'galata-3',
            'backend_url': backend_url,
        }
    )


@asynccontextmanager
async def running_side(pool: Pool = POOL) -> AsyncIterator[World]:
    """Run a side beside its backend server."""
    backend = Backend()
    async with serving(backend, '127.0.0.1', 0) as server:
        parts = SideParts(
            settings=settings(server.url),
            peer_secret=SECRET,
            incarnation=INCARNATION,
            admission=FakeAdmission(),
            configuration=FakeConfiguration(pool),
            link_bounds=LinkBounds(beat_seconds=0.1, silence_seconds=0.5),
            send_seconds=0.3,
        )
        async with Side(parts) as side:
            world = World(side, backend, server, parts)
            async with world.client:
                yield world


@asynccontextmanager
async def linked(world: World) -> AsyncIterator[None]:
    """Keep an entry's link to the side."""
    dialer = LinkDialer(
        world.side.peer.address,
        Hello('entry-1', PeerRole.ENTRY, 'entry-1-first', 'galata'),
        SECRET,
        world.sink,
        bounds=replace(world.parts.link_bounds, longest_retry_seconds=0.1),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(dialer.run)
        yield
        tasks.cancel_scope.cancel()
