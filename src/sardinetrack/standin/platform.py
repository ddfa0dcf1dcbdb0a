"""Stand-in for the platform: object API, instance list, faults."""

from __future__ import annotations

import hmac
import math
import time
from http import HTTPStatus
from types import MappingProxyType
from typing import Final
from urllib.parse import parse_qs

import msgspec

from sardinetrack.errors.api import RequestError
from sardinetrack.http.asgi import (
    ClientDisconnectedError,
    HttpExchange,
    Receive,
    Scope,
    Send,
)
from sardinetrack.standin.platform_faults import CallKind, FaultGate, Faults
from sardinetrack.standin.platform_objects import ObjectCalls
from sardinetrack.store.api import (
    MAX_VALUE_BYTES,
    CallRejectedError,
    ListedInstance,
    UnavailableError,
)
from sardinetrack.store.in_process import InjectedFaults, MemoryPlatform

_OBJECTS: Final = '/objects'
_INSTANCES: Final = '/instances'
_FAULTS: Final = '/faults'
_CALLS: Final = '/calls'
_BODY_SECONDS: Final = 10.0
_KINDS: Final = MappingProxyType(
    {
        ('GET', f'{_OBJECTS}/'): CallKind.GET,
        ('PUT', f'{_OBJECTS}/'): CallKind.PUT,
        ('DELETE', f'{_OBJECTS}/'): CallKind.DELETE,
        ('GET', _OBJECTS): CallKind.LIST,
        ('GET', '/watch'): CallKind.WATCH,
        ('GET', _INSTANCES): CallKind.INSTANCES,
    }
)


class PlatformStandin:
    """ASGI application over an in-memory store."""

    def __init__(
        self,
        token: str,
        platform: MemoryPlatform | None = None,
    ) -> None:
        """Build a stand-in.

        :param token: bearer token that every call must carry.
        :param platform: the store to serve, by default an empty one.
        """
        self.platform = platform or MemoryPlatform()
        self.gate = FaultGate()
        self._authorization = f'Bearer {token}'.encode()
        self._objects = ObjectCalls(self.platform, self.gate)

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one call."""
        exchange = HttpExchange(scope, receive, send)
        try:
            await self._respond(exchange)
        except (RequestError, CallRejectedError, ValueError) as error:
            text = str(error).encode()
            await exchange.respond(HTTPStatus.BAD_REQUEST, text)
        except UnavailableError:
            await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE)
        except ClientDisconnectedError:
            return

    async def _respond(self, exchange: HttpExchange) -> None:
        received = (exchange.header('authorization') or '').encode()
        if not hmac.compare_digest(received, self._authorization):
            await exchange.respond(HTTPStatus.UNAUTHORIZED)
            return
        body = await exchange.body(MAX_VALUE_BYTES * 2, _BODY_SECONDS)
        kind = _call_kind(exchange)
        if kind is None:
            await self._control(exchange, body)
        elif await self._admit(exchange, kind):
            await self._serve(exchange, kind, body)

    async def _admit(self, exchange: HttpExchange, kind: CallKind) -> bool:
        await self.gate.delay_call()
        if self.gate.rejects_call():
            await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE)
            return False
        wait_seconds = self.gate.throttle_seconds(time.monotonic(), kind)
        if wait_seconds:
            await exchange.respond(
                HTTPStatus.TOO_MANY_REQUESTS,
                headers=(('retry-after', f'{wait_seconds:.3f}'),),
            )
            return False
        return True

    async def _serve(
        self,
        exchange: HttpExchange,
        kind: CallKind,
        body: bytes,
    ) -> None:
        key = exchange.path.removeprefix(f'{_OBJECTS}/')
        match kind:
            case CallKind.GET:
                await self._objects.get(exchange, key)
            case CallKind.PUT:
                await self._objects.put(exchange, key, body)
            case CallKind.DELETE:
                await self._objects.delete(exchange, key)
            case CallKind.LIST:
                await self._objects.list(exchange, _query(exchange, 'prefix'))
            case CallKind.WATCH:
                await self._watch(exchange)
            case CallKind.INSTANCES:
                await exchange.respond_json(
                    HTTPStatus.OK,
                    await self.platform.instances(),
                )

    async def _watch(self, exchange: HttpExchange) -> None:
        wait_seconds = float(_query(exchange, 'wait_seconds') or 0)
        if not math.isfinite(wait_seconds):
            raise ValueError('wait_seconds')
        await self._objects.watch(
            exchange,
            _query(exchange, 'prefix'),
            int(_query(exchange, 'after')),
            wait_seconds,
        )

    async def _control(self, exchange: HttpExchange, body: bytes) -> None:
        prefix, _, instance = exchange.path.rpartition('/')
        match (exchange.method, exchange.path, prefix):
            case ('GET', '/calls', _):
                await exchange.respond_json(
                    HTTPStatus.OK, self.gate.call_counts()
                )
                return
            case ('PUT', '/faults', _):
                self._inject_faults(msgspec.json.decode(body, type=Faults))
            case ('PUT', _, '/instances'):
                row = msgspec.json.decode(body, type=ListedInstance)
                self.platform.set_instance(row)
            case ('DELETE', _, '/instances'):
                self.platform.remove_instance(instance)
            case _:
                await exchange.respond(HTTPStatus.NOT_FOUND)
                return
        await exchange.respond(HTTPStatus.NO_CONTENT)

    def _inject_faults(self, faults: Faults) -> None:
        self.gate.replace(time.monotonic(), faults)
        self.platform.apply_faults(
            InjectedFaults(
                outage=faults.outage,
                watch_lag_seconds=faults.watch_lag_seconds,
                list_lag_seconds=faults.list_lag_seconds,
            ),
        )


def _call_kind(exchange: HttpExchange) -> CallKind | None:
    path = exchange.path
    if path.startswith(f'{_OBJECTS}/'):
        path = f'{_OBJECTS}/'
    return _KINDS.get((exchange.method, path))


def _query(exchange: HttpExchange, name: str) -> str:
    query = parse_qs(exchange.scope['query_string'].decode('latin-1'))
    return str(query.get(name, [''])[0])
