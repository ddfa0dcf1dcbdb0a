"""A side with a scripted backend server, for the steps."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, Final

import anyio
import msgspec

from sardinetrack.admission.api import (
    Admission,
    Announce,
    Arrival,
    RefusalReason,
    Refuse,
    SendGrant,
    SideEffect,
    Start,
    Stop,
)
from sardinetrack.catalogue.api import Pool, PoolClass
from sardinetrack.config.model import SideSettings
from sardinetrack.http.asgi import Exchange, Receive, Scope, Send
from sardinetrack.http.client import (
    BrokenError,
    HttpClient,
    Reply,
    StreamedReply,
)
from sardinetrack.http.server import BoundServer, serving
from sardinetrack.links.api import Hello, LinkBounds, PeerRole
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.run_reply import RunReply
from sardinetrack.links.secret import PeerSecret
from sardinetrack.messages.api import (
    Bids,
    ConfigDigest,
    ConfigObject,
    ConfigUpdate,
    Grant,
    SideLoad,
    SidePhase,
)
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
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.daemon import Side
from sardinetrack.side.parts import SideParts

SECRET: Final = PeerSecret('winter-harbour')
INCARNATION: Final = 'side-1-second'
WAIT_SECONDS: Final = 15.0
POOL: Final = Pool(
    name='chart-api',
    owner='varna',
    pool_class=PoolClass.SERVICE,
    slots_per_server=2,
    max_body_bytes=1000,
    max_run_seconds=60,
    models=(),
    repeatable=(),
    checks_fencing=frozenset(),
    prompt_token_cost=0.1,
)
ORDER: Final = RunOrder(
    attempt_id='a1',
    incarnation=INCARNATION,
    entry='entry-1',
    workspace='pilots',
    tag=0,
    hint_cost=1,
    grant=0,
    wait_seconds=5,
    idempotent=False,
    method='POST',
    path='/echo',
    headers=(('x-caller', 'pilot'),),
    fingerprint='f',
)


class FakeAdmission(Admission):
    """Starts whatever fits into its slots, refuses the rest."""

    def __init__(self) -> None:
        self.limit = 0
        self.fates: dict[str, Fate] = {}
        self.draining = False
        self.calls: list[str] = []
        self.ends: list[tuple[str, bool, float]] = []

    @property
    def running(self) -> int:
        return list(self.fates.values()).count(Fate.RUNNING)

    def arrive(self, now: float, arrival: Arrival) -> Sequence[SideEffect]:
        known = self.fates.get(arrival.attempt_id)
        if known is not None:
            tombstone = known is Fate.NOT_STARTED
            return [
                Refuse(
                    arrival.attempt_id,
                    RefusalReason.TOMBSTONED
                    if tombstone
                    else RefusalReason.DUPLICATE,
                )
            ]
        if self.draining:
            return [Refuse(arrival.attempt_id, RefusalReason.DRAINING)]
        if self.running >= self.limit:
            return [Refuse(arrival.attempt_id, RefusalReason.BUSY)]
        self.fates[arrival.attempt_id] = Fate.RUNNING
        return [Start(arrival.attempt_id), Announce()]

    def bids(self, now: float, entry: str, bids: Bids) -> Sequence[SideEffect]:
        self.calls.append(f'bids {entry} {bids.rows[0].workspace}')
        return [SendGrant(entry, Grant(7, valid_seconds=1))]

    def decline(
        self, now: float, entry: str, number: int
    ) -> Sequence[SideEffect]:
        self.calls.append(f'decline {entry} {number}')
        return ()

    def entry_lost(self, now: float, entry: str) -> Sequence[SideEffect]:
        self.calls.append(f'lost {entry}')
        return ()

    def finished(
        self, now: float, attempt_id: str, *, whole: bool, cost: float
    ) -> Sequence[SideEffect]:
        self.fates[attempt_id] = Fate.FINISHED if whole else Fate.FAILED
        self.ends.append((attempt_id, whole, cost))
        return [Announce()]

    def query(
        self, now: float, attempt_id: str, *, cancel: bool
    ) -> tuple[Fate, Sequence[SideEffect]]:
        fate = self.fates.setdefault(attempt_id, Fate.NOT_STARTED)
        stop = cancel and fate is Fate.RUNNING
        return fate, [Stop(attempt_id)] if stop else []

    def resize(self, now: float, limit: int) -> Sequence[SideEffect]:
        self.limit = limit
        return [Announce()]

    def drain(self, now: float) -> Sequence[SideEffect]:
        self.draining = True
        return ()

    def tick(self, now: float) -> Sequence[SideEffect]:
        return ()

    def load(self) -> SideLoad:
        return SideLoad(
            INCARNATION,
            SidePhase.DRAINING if self.draining else SidePhase.SERVING,
            self.limit,
            self.running,
            self.limit - self.running,
        )


class FakeConfiguration(SideConfiguration):
    """One pool, in force from the first update on."""

    def __init__(self, pool: Pool) -> None:
        self.revision = 0
        self._pool = pool

    def pool(self) -> Pool | None:
        return self._pool if self.revision else None

    def apply(self, update: ConfigUpdate) -> bool:
        newer = update.revision > self.revision
        self.revision = max(update.revision, self.revision)
        return newer

    def digest(self) -> ConfigDigest:
        return ConfigDigest(self.revision, f'digest {self.revision}')

    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        if peer.revision >= self.revision:
            return None
        return configured(self.revision)


def configured(revision: int) -> ConfigUpdate:
    row = ConfigObject('catalogue/pool/chart-api', revision, '{}', False)
    return ConfigUpdate(revision, (row,))


class Backend:
    """A backend server that does what its path says."""

    def __init__(self) -> None:
        self.executions: list[str] = []
        self.bodies: list[bytes] = []
        self.cancelled = anyio.Event()
        self.gate = anyio.Event()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        exchange = Exchange(scope, receive, send)
        body = await exchange.body(10_000, WAIT_SECONDS)
        if exchange.path == '/load':
            await exchange.answer_json(200, {'running': 0})
            return
        self.executions.append(exchange.target)
        self.bodies.append(body)
        await getattr(self, f'_{exchange.path[1:]}')(exchange, body)

    async def _echo(self, exchange: Exchange, body: bytes) -> None:
        pairs = [
            ('x-server', 'galata \xe9'),
            ('x-seen', exchange.header('x-caller') or ''),
        ]
        await exchange.answer(201, body, pairs)

    async def _empty(self, exchange: Exchange, body: bytes) -> None:
        await exchange.start(204, ())
        await exchange.finish()

    async def _head(self, exchange: Exchange, body: bytes) -> None:
        await exchange.start(200, [('content-length', '4711')])
        await exchange.finish()

    async def _events(self, exchange: Exchange, body: bytes) -> None:
        await exchange.start(200, [('content-type', 'text/event-stream')])
        for chunk in (b'da', b'ta: 1\n\ndata: 2\n\n', b'data: [DONE]\n\n'):
            await exchange.write(chunk)
            await anyio.sleep(0.02)
        await exchange.finish()

    async def _usage(self, exchange: Exchange, body: bytes) -> None:
        usage = {'prompt_tokens': 100, 'completion_tokens': 30}
        await exchange.answer_json(200, {'choices': [], 'usage': usage})

    async def _gated(self, exchange: Exchange, body: bytes) -> None:
        await exchange.start(200, ())
        await exchange.write(b'first ')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._note_cancel, exchange)
            await self.gate.wait()
            tasks.cancel_scope.cancel()
        await exchange.finish(b'last')

    async def _note_cancel(self, exchange: Exchange) -> None:
        await exchange.gone()
        self.cancelled.set()

    async def _cut(self, exchange: Exchange, body: bytes) -> None:
        await exchange.start(200, ())
        await exchange.write(b'half of it')
        raise ConnectionError('the backend server breaks its stream')


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

    async def order(self, order: RunOrder, body: bytes = b'') -> Any:
        """Send an order; read the whole answer."""
        async with self.streamed(order, body) as reply:
            status, answer = reply.status, reply.run_result
            return Answered(
                status, answer, reply.headers, await read_all(reply)
            )

    @asynccontextmanager
    async def streamed(
        self, order: RunOrder, body: bytes = b''
    ) -> AsyncIterator[RunReply]:
        async with self.client.stream(
            'POST',
            f'{self.side.peer.url}{RUN_PATH}',
            headers=[SECRET.header(), (RUN_HEADER, order_text(order))],
            body=body,
        ) as reply:
            yield RunReply(reply)

    async def ask(
        self,
        attempt_id: str,
        incarnation: str = INCARNATION,
        *,
        cancel: bool = False,
    ) -> Fate:
        query = AttemptQuery(attempt_id, incarnation, cancel)
        reply = await self.client.call(
            'POST',
            f'{self.side.peer.url}{ATTEMPT_PATH}{attempt_id}',
            headers=[SECRET.header()],
            body=msgspec.json.encode(query),
        )
        return msgspec.json.decode(reply.body, type=AttemptAnswer).fate

    async def get(self, url: str, *pairs: tuple[str, str]) -> Reply:
        return await self.client.call('GET', url, headers=pairs)

    async def until(self, holds: Any) -> None:
        """Wait for a condition, with a bound."""
        with anyio.fail_after(WAIT_SECONDS):
            while not holds():
                await anyio.sleep(0.01)

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


async def read_all(reply: RunReply | StreamedReply) -> bytes | None:
    try:
        return b''.join([chunk async for chunk in reply.chunks()])
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
