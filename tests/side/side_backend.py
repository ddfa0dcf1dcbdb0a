"""A scripted backend server: the path selects what it does."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import Final
from urllib.parse import parse_qs

import anyio
from anyio.lowlevel import checkpoint

from sardinetrack.catalogue.api import Pool, PoolClass
from sardinetrack.http.asgi import (
    HttpExchange,
    Message,
    Receive,
    Scope,
    Send,
)
from sardinetrack.http.client import EXCHANGE_HEADER
from sardinetrack.messages.run import RunRequest
from sardinetrack.standin.connections import ConnectionRegistry

INCARNATION: Final = 'side-1-second'
_BODY_SECONDS: Final = 15.0
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
RUN_REQUEST: Final = RunRequest(
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
    suspect=False,
)


class Backend:
    """A backend server whose behaviour depends on the path."""

    def __init__(self) -> None:
        self.connections = ConnectionRegistry()
        self.executions: list[str] = []
        self.bodies: list[bytes] = []
        self.cancelled = anyio.Event()
        self.gate = anyio.Event()
        self.responsive = anyio.Event()
        self.responsive.set()
        self.leaving: str | None = None
        """The header Server-Leaving of each response."""
        self.load_retry_after: str | None = None
        """Sent once with status 503 to a load query."""
        self.rest_until = float(0)
        """End of the longest rest that it has asked for."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the method named after the path."""
        send_marked = partial(self._send_marked, send)
        exchange = HttpExchange(scope, receive, send_marked)
        body = await exchange.body(10_000, _BODY_SECONDS)
        if exchange.path == '/load':
            await self.responsive.wait()
            await self._report_load(exchange)
            return
        self.executions.append(exchange.target)
        self.bodies.append(body)
        name = exchange.path.replace('/', '_')
        await getattr(self, name)(exchange, body)

    async def _send_marked(self, send: Send, message: Message) -> None:
        starts = message['type'] == 'http.response.start'
        if starts and self.leaving is not None:
            pair = (b'server-leaving', self.leaving.encode())
            message = {**message, 'headers': [*message['headers'], pair]}
        await send(message)

    async def _report_load(self, exchange: HttpExchange) -> None:
        if self.load_retry_after is None:
            await exchange.respond_json(200, {'running': 0})
            return
        self.rest_until = anyio.current_time() + float(self.load_retry_after)
        pair = ('retry-after', self.load_retry_after)
        self.load_retry_after = None
        await exchange.respond(503, b'', [pair])

    async def _orders(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.respond_json(200, {})

    async def _echo(self, exchange: HttpExchange, body: bytes) -> None:
        pairs = [
            ('x-server', 'galata \xe9'),
            ('x-seen', exchange.header('x-caller') or ''),
        ]
        await exchange.respond(201, body, pairs)

    async def _identified(self, exchange: HttpExchange, body: bytes) -> None:
        pair = (EXCHANGE_HEADER, exchange.header(EXCHANGE_HEADER) or '')
        await exchange.respond(200, body, [pair])

    async def _other(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.respond(200, body, [(EXCHANGE_HEADER, 'a0')])

    async def _twice(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.respond(200, body)
        self.connections.write_between_responses(
            exchange.scope['client'],
            b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
        )

    async def _empty(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.start(204, ())
        await exchange.finish()

    async def _rest(self, exchange: HttpExchange, body: bytes) -> None:
        query = parse_qs(exchange.scope['query_string'].decode())
        pairs = [('retry-after', after) for after in query.get('after', ())]
        with suppress(ValueError):
            until = anyio.current_time() + float(
                ''.join(query.get('after', ()))
            )
            self.rest_until = max(self.rest_until, until)
        await exchange.respond(int(query['status'][0]), b'', pairs)

    async def _gated_rest(self, exchange: HttpExchange, body: bytes) -> None:
        await self.gate.wait()
        await self._rest(exchange, body)

    async def _head(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.start(200, [('content-length', '4711')])
        await exchange.finish()

    async def _events(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.start(200, [('content-type', 'text/event-stream')])
        for chunk in (b'da', b'ta: 1\n\ndata: 2\n\n', b'data: [DONE]\n\n'):
            await exchange.write(chunk)
            await anyio.sleep(0.02)
        await exchange.finish()

    async def _usage(self, exchange: HttpExchange, body: bytes) -> None:
        usage = {'prompt_tokens': 100, 'completion_tokens': 30}
        await exchange.respond_json(200, {'choices': [], 'usage': usage})

    async def _gated(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.start(200, ())
        await exchange.write(b'first ')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._record_cancel, exchange)
            await self.gate.wait()
            tasks.cancel_scope.cancel()
        await exchange.finish(b'last')

    async def _flood(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.start(200, ())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._record_cancel, exchange)
            while not self.cancelled.is_set():
                await exchange.write(b'x' * 65_536)
                await checkpoint()

    async def _record_cancel(self, exchange: HttpExchange) -> None:
        await exchange.wait_for_disconnect()
        self.cancelled.set()

    async def _cut(self, exchange: HttpExchange, body: bytes) -> None:
        await exchange.start(200, ())
        await exchange.write(b'half of it')
        raise ConnectionError('the backend server truncates its stream')
