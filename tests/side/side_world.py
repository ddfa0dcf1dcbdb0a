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

from sardinetrack.admission.api import Admission
from sardinetrack.catalogue.api import Pool
from sardinetrack.config.model import SideSettings
from sardinetrack.http.client import (
    ConnectionBrokenError,
    HttpClient,
    HttpResponse,
)
from sardinetrack.http.server import BoundServer, serve
from sardinetrack.links.api import Hello, LinkLimits, PeerRole
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.run_response import RunResponse
from sardinetrack.links.secret import PeerSecret
from sardinetrack.messages.run import (
    ATTEMPT_PATH,
    RUN_HEADER,
    RUN_PATH,
    AttemptStatus,
    AttemptStatusRequest,
    AttemptStatusResponse,
    RunRequest,
)
from sardinetrack.messages.run_codec import encode_run_request
from sardinetrack.side.daemon import SideDaemon
from sardinetrack.side.dependencies import SideDependencies

SECRET: Final = PeerSecret('winter-harbour')
WAIT_SECONDS: Final = 15.0
POLL_INTERVAL_SECONDS: Final = 0.01
MAX_POLLS: Final = 1500


class World:
    """A running side and the clients that the steps use."""

    def __init__(
        self,
        side: SideDaemon,
        backend: Backend,
        server: BoundServer,
        dependencies: SideDependencies,
    ) -> None:
        self.side = side
        self.server = server
        self.backend = backend
        self.dependencies = dependencies
        self.admission: Any = dependencies.admission
        self.client = HttpClient()
        streams = anyio.create_memory_object_stream[Any](1000)
        self.sink = streams[0]
        self.events = streams[1]

    def peer_url(self, path: str) -> str:
        """Build the address of a peer endpoint."""
        return self.side.peer_server.url + path

    def operator_url(self, path: str) -> str:
        """Build the address of an operator endpoint."""
        return self.side.operator_server.url + path

    async def send_run_request(
        self, run_request: RunRequest, body: bytes = b''
    ) -> Any:
        """Send a run request and read the complete response."""
        async with self.streamed(run_request, body) as response:
            status, run_outcome = response.status, response.run_result
            body = await read_all(response.chunks())
            return ReceivedResponse(status, run_outcome, response.headers, body)

    @asynccontextmanager
    async def streamed(
        self, run_request: RunRequest, body: bytes = b''
    ) -> AsyncIterator[RunResponse]:
        """Send a run request and yield its response while it arrives."""
        async with self.client.stream(
            'POST',
            self.peer_url(RUN_PATH),
            headers=[
                SECRET.header(),
                (RUN_HEADER, encode_run_request(run_request)),
            ],
            body=body,
        ) as response:
            yield RunResponse(response)

    async def query_attempt(
        self,
        attempt_id: str,
        incarnation: str = INCARNATION,
        cancel: bool = False,
    ) -> AttemptStatus:
        """Send a status query and return the fate of the attempt."""
        query = AttemptStatusRequest(attempt_id, incarnation, cancel)
        response = await self.client.call(
            'POST',
            self.peer_url(ATTEMPT_PATH + attempt_id),
            headers=[SECRET.header()],
            body=msgspec.json.encode(query),
        )
        return msgspec.json.decode(
            response.body, type=AttemptStatusResponse
        ).fate

    async def get(self, url: str, *pairs: tuple[str, str]) -> HttpResponse:
        """Fetch a page."""
        return await self.client.call('GET', url, headers=pairs)

    async def wait_until(self, condition: Any) -> None:
        """Wait for a condition, for a bounded time."""
        for _ in range(MAX_POLLS):
            if condition():
                return
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        raise AssertionError('the condition never became true')

    async def next_event(self, event_type: type, matches: Any = bool) -> Any:
        """Skip link events until one matches."""
        with anyio.fail_after(WAIT_SECONDS):
            while True:
                event = await self.events.receive()
                if isinstance(event, event_type) and matches(event):
                    return event


class ReceivedResponse(msgspec.Struct):
    """A response to a run request, read to its end."""

    status: int
    run_result: Any
    headers: Any
    body: bytes | None
    """``None`` when it was truncated."""


async def read_all(chunks: AsyncIterator[bytes]) -> bytes | None:
    """Read to the end; ``None`` when the stream was truncated."""
    try:
        with anyio.fail_after(WAIT_SECONDS):
            return b''.join([chunk async for chunk in chunks])
    except ConnectionBrokenError:
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
async def running_side(
    pool: Pool = POOL, admission: Admission | None = None
) -> AsyncIterator[World]:
    """Run a side beside its backend server.

    :param admission: its admission object, by default a scripted one.
    """
    backend = Backend()
    protocol = backend.connections.protocol()
    async with serve(backend, '127.0.0.1', 0, protocol=protocol) as server:
        dependencies = SideDependencies(
            settings=settings(server.url),
            peer_secret=SECRET,
            incarnation=INCARNATION,
            admission=admission or FakeAdmission(),
            configuration=FakeConfiguration(pool),
            link_limits=LinkLimits(
                heartbeat_interval_seconds=0.1, heartbeat_timeout_seconds=0.5
            ),
            send_seconds=0.3,
        )
        async with SideDaemon(dependencies) as side:
            world = World(side, backend, server, dependencies)
            async with world.client:
                yield world


@asynccontextmanager
async def linked(world: World) -> AsyncIterator[None]:
    """Keep a link from an entry to the side."""
    dialer = LinkDialer(
        world.side.peer_server.address,
        Hello('entry-1', PeerRole.ENTRY, 'entry-1-first', 'galata'),
        SECRET,
        world.sink,
        bounds=replace(world.dependencies.link_limits, max_retry_seconds=0.1),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(dialer.run)
        yield
        tasks.cancel_scope.cancel()
