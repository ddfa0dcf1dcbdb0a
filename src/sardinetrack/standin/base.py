"""Base class of the stand-ins for backend servers."""

from __future__ import annotations

import signal
from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import partial
from typing import ClassVar, Final

import anyio
from pydantic import ValidationError

from sardinetrack.http.asgi import (
    ClientDisconnectedError,
    HeaderPairs,
    HttpExchange,
    Message,
    Receive,
    Scope,
    Send,
)
from sardinetrack.standin.connections import ConnectionRegistry
from sardinetrack.standin.executions import Execution, Executions, Outcome
from sardinetrack.standin.faults import Faults, FaultSwitch
from sardinetrack.standin.fencing import FencingCheck
from sardinetrack.standin.second_response import RecordedResponse

FENCING_HEADER: Final = 'sardinetrack-fencing'
OK: Final = 200
NO_CONTENT: Final = 204
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404
CONFLICT: Final = 409
UNAVAILABLE: Final = 503

_MAX_BODY_BYTES: Final = 64_000_000
_BODY_SECONDS: Final = 600.0
_CONTROL_PATH: Final = '/standin/'
_LEAVING_HEADER: Final = (b'server-leaving', b'1')


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body."""

    exchange: HttpExchange
    body: bytes

    @property
    def route(self) -> str:
        """Method and path."""
        return ' '.join((self.exchange.method, self.exchange.path))


class StandIn(ABC):
    """ASGI application with faults, a fencing check and execution counts."""

    load_route: ClassVar[str | None] = None
    """Method and path of the load query, if there is one."""

    def __init__(self, faults: Faults, *, checks_fencing: bool) -> None:
        """Build a stand-in; ``sardinetrack.standin.serve_standin`` serves it.

        :param faults: the initial faults.
        :param checks_fencing: whether old fencing tokens are refused.
        """
        self.faults = FaultSwitch(faults)
        self.executions = Executions()
        self.connections = ConnectionRegistry()
        self.fencing_check = FencingCheck(checks=checks_fencing)
        self.crashed = anyio.Event()
        self._scopes: set[anyio.CancelScope] = set()

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        if scope['type'] != 'http':
            return
        response = RecordedResponse(
            HttpExchange(scope, receive, send),
            send,
            keeps_copy=self.faults.current.second_response_seconds is not None,
        )
        send_marked = partial(self._send_marked, response.send)
        exchange = HttpExchange(scope, receive, send_marked)
        # A crash interrupts requests in any state: this scope also covers
        # those that wait frozen and have no execution yet.
        request_scope = anyio.CancelScope()
        self._scopes.add(request_scope)
        try:
            with request_scope:
                await self._receive(exchange)
                await self._respond_again(exchange, response)
        finally:
            self._scopes.discard(request_scope)
        if request_scope.cancelled_caught:
            await exchange.wait_for_disconnect()

    @abstractmethod
    async def handle(self, request: Request) -> None:
        """Respond to a request that the common faults let through."""

    async def crash(self) -> None:
        """Interrupt all requests and connections; never returns."""
        if self.faults.current.crash_kills_process:
            signal.raise_signal(signal.SIGKILL)
        self.interrupt_all()
        self.crashed.set()
        await anyio.sleep_forever()

    def interrupt_all(self) -> None:
        """Interrupt all requests and connections, and reject new ones."""
        self.executions.interrupt_all()
        for request_scope in tuple(self._scopes):
            request_scope.cancel()
        self.connections.abort_all()

    def restart(self) -> None:
        """Accept connections again after a crash, with no state left."""
        self.fencing_check.reset()
        self.crashed = anyio.Event()
        self.connections.accept_again()

    async def abort_connection(
        self,
        request: Request,
        execution: Execution,
    ) -> None:
        """Abort the connection of one request; never returns."""
        self.connections.abort_peer(request.exchange.scope['client'])
        execution.stop(Outcome.INTERRUPTED)
        await anyio.sleep_forever()

    async def respond_error(
        self, request: Request, status: int, headers: HeaderPairs = ()
    ) -> None:
        """Respond with an error body as model engines write it."""
        content = {'error': {'message': 'stand-in', 'code': status}}
        await request.exchange.respond_json(status, content, headers)

    async def _receive(self, exchange: HttpExchange) -> None:
        try:
            body = await exchange.body(_MAX_BODY_BYTES, _BODY_SECONDS)
        except ClientDisconnectedError:
            return
        request = Request(exchange, body)
        if exchange.path.startswith(_CONTROL_PATH):
            await self._control(request)
            return
        await self.faults.wait_unfrozen()
        rest_seconds = self.faults.current.rest_seconds
        if rest_seconds is not None and request.route != self.load_route:
            pair = ('retry-after', format(rest_seconds, 'g'))
            await self.respond_error(request, UNAVAILABLE, [pair])
            return
        status = self._rejection_status(request)
        if status is None:
            await self.handle(request)
        else:
            await self.respond_error(request, status)

    async def _send_marked(self, send: Send, message: Message) -> None:
        starts = message['type'] == 'http.response.start'
        if starts and self.faults.current.leaving:
            headers = [*message['headers'], _LEAVING_HEADER]
            message = {**message, 'headers': headers}
        await send(message)

    async def _respond_again(
        self, exchange: HttpExchange, response: RecordedResponse
    ) -> None:
        seconds = self.faults.current.second_response_seconds
        if seconds is None or not response.is_complete:
            return
        if exchange.path.startswith(_CONTROL_PATH):
            return
        await anyio.sleep(seconds)
        self.connections.write_between_responses(
            exchange.scope['client'], response.encode()
        )

    async def _control(self, request: Request) -> None:
        if request.route == 'GET /standin/executions':
            await request.exchange.respond_json(OK, self.executions.counts)
        elif request.route == 'PUT /standin/faults':
            await self._put_faults(request)
        else:
            await self.respond_error(request, NOT_FOUND)

    async def _put_faults(self, request: Request) -> None:
        try:
            self.faults.replace_json(request.body)
        except ValidationError as error:
            await request.exchange.respond(BAD_REQUEST, str(error).encode())
            return
        await request.exchange.respond(NO_CONTENT)

    def _rejection_status(self, request: Request) -> int | None:
        faults = self.faults.current
        if faults.error_status is not None and not faults.error_after_run:
            return faults.error_status
        token = request.exchange.header(FENCING_HEADER)
        if token is None:
            return None
        if not token.isdecimal():
            return BAD_REQUEST
        return None if self.fencing_check.admits(int(token)) else CONFLICT
