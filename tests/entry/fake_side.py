"""A side with scripted responses."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import msgspec
from raw_http import TOKEN_TEXT

from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.http.server import BoundServer, serve
from sardinetrack.links.api import (
    Hello,
    Link,
    LinkEvent,
    LinkMessageReceived,
    LinkUp,
    PeerRole,
)
from sardinetrack.links.secret import PeerSecret
from sardinetrack.links.server import LinkAcceptor
from sardinetrack.messages.api import (
    Bids,
    ConfigDigest,
    ConfigUpdate,
    Grant,
    LinkMessage,
    SideLoad,
    SidePhase,
)
from sardinetrack.messages.run import (
    RESULT_HEADER,
    RUN_HEADER,
    AttemptStatus,
    AttemptStatusRequest,
    AttemptStatusResponse,
    RunRequest,
    RunResult,
)
from sardinetrack.messages.run_codec import (
    SERVER_HEADERS_HEADER,
    decode_run_request,
    encode_run_result,
    encode_server_headers,
)

SECRET = PeerSecret('fleet')
SLOTS = 50


@dataclass
class Script:
    """The response of the side to one run request."""

    fate: AttemptStatus = AttemptStatus.RUNNING
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    chunks: tuple[bytes, ...] = ()
    pause_seconds: float = 0
    """Between two chunks."""
    ends: bool = True
    """False: the connection breaks after the chunks."""
    breaks_before_result: bool = False
    """The connection breaks before the side has responded."""
    fills: bool = False
    """The side first reports that it has no free slot any more."""
    delayed: bool = False
    """Waits for ``release`` before it responds."""


@dataclass
class FakeSide:
    """Records run requests and responds by script; the last one repeats."""

    name: str
    pool: str
    scripts: deque[Script] = field(default_factory=deque)
    status_replies: deque[AttemptStatus] = field(default_factory=deque)
    """Responses to status queries; without any left there is no response."""
    run_requests: list[RunRequest] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    status_queries: list[AttemptStatusRequest] = field(default_factory=list)
    received: list[LinkMessage] = field(default_factory=list)
    links: list[Link] = field(default_factory=list)
    disconnects: int = 0
    free: int = SLOTS
    granted: int = 0
    refuses_links: bool = False
    incarnation: str = 'first'
    address: str = ''

    def __post_init__(self) -> None:
        self.release = anyio.Event()

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[BoundServer]:
        """Serve on loopback."""
        streams = anyio.create_memory_object_stream[LinkEvent](100)
        hello = Hello(self.name, PeerRole.SIDE, self.incarnation, 'galata')
        self._acceptor = LinkAcceptor(hello, SECRET, streams[0])
        async with (
            serve(self, '127.0.0.1', 0) as server,
            anyio.create_task_group() as tasks,
        ):
            self.address = server.address
            tasks.start_soon(self._listen, streams[1])
            yield server
            self.release.set()
            tasks.cancel_scope.cancel()

    def announce(self) -> None:
        """Send the load to all linked entries."""
        load = SideLoad(
            self.incarnation,
            SidePhase.SERVING,
            limit=SLOTS,
            running=SLOTS - self.free,
            free=self.free,
        )
        for link in self.links:
            link.post(load)

    def configuration(self) -> set[str]:
        """Return the catalogue keys that entries have sent."""
        return {
            row.key
            for message in self.received
            if isinstance(message, ConfigUpdate)
            for row in message.objects
        }

    async def _listen(self, events: anyio.abc.ObjectReceiveStream) -> None:
        async for event in events:
            if isinstance(event, LinkUp):
                self.links.append(event.link)
                event.link.post(ConfigDigest(0, ''))
                self.announce()
            elif isinstance(event, LinkMessageReceived):
                self.received.append(event.message)
                if isinstance(event.message, Bids):
                    self._grant(event.link, event.message)

    def _grant(self, link: Link, bids: Bids) -> None:
        waiting = sum(row.waiting for row in bids.rows)
        for _ in range(min(waiting, self.free)):
            self.granted += 1
            link.post(Grant(self.granted, valid_seconds=1))

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle a request or a link of an entry."""
        if scope['type'] != 'http' and self.refuses_links:
            await send({'type': 'websocket.close'})
            return
        if scope['type'] != 'http':
            await self._acceptor(scope, receive, send)
            return
        exchange = HttpExchange(scope, receive, send)
        assert SECRET.matches(exchange.header('authorization'))
        assert TOKEN_TEXT not in str(exchange.headers())
        if RUN_HEADER in dict(exchange.headers()):
            await self._run(exchange)
        else:
            await self._answer_status_query(exchange)

    async def _answer_status_query(self, exchange: HttpExchange) -> None:
        body = await exchange.body(10_000, 1)
        self.status_queries.append(
            msgspec.json.decode(body, type=AttemptStatusRequest)
        )
        if not self.status_replies:
            await exchange.wait_for_disconnect()
            return
        fate = self.status_replies.popleft()
        answer = AttemptStatusResponse(fate, self.incarnation)
        await exchange.respond_json(200, answer)

    async def _run(self, exchange: HttpExchange) -> None:
        script = self.scripts[0]
        if len(self.scripts) > 1:
            self.scripts.popleft()
        self.run_requests.append(
            decode_run_request(exchange.header(RUN_HEADER) or '')
        )
        self.bodies.append(await exchange.body(10_000_000, 5))
        if script.fills:
            self.free = 0
            self.announce()
            await anyio.sleep(0.05)
        if script.delayed:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._record_disconnect, exchange, tasks.cancel_scope
                )
                await self.release.wait()
                tasks.cancel_scope.cancel()
        if not script.breaks_before_result:
            await self._answer(exchange, script)

    async def _record_disconnect(
        self,
        exchange: HttpExchange,
        scope: anyio.CancelScope,
    ) -> None:
        await exchange.wait_for_disconnect()
        self.disconnects += 1
        scope.cancel()

    async def _answer(self, exchange: HttpExchange, script: Script) -> None:
        result = RunResult(script.fate, self.incarnation, script.status)
        hop_status = 409 if script.fate is AttemptStatus.NOT_STARTED else 200
        await exchange.start(
            hop_status,
            [
                (RESULT_HEADER, encode_run_result(result)),
                (SERVER_HEADERS_HEADER, encode_server_headers(script.headers)),
            ],
        )
        for chunk in script.chunks:
            await exchange.write(chunk)
            await anyio.sleep(script.pause_seconds)
        if script.ends:
            await exchange.finish()
