"""Orders to the backend server over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from sardinetrack.http.client import (
    BrokenError,
    HttpClient,
    NotSentError,
    Reply,
)
from sardinetrack.lease.orders import OrderedServer, OrderResult

_ASK_SECONDS: Final = 2.0
_ORDER_SECONDS: Final = 5.0


class _Model(msgspec.Struct):
    id: str


class _Models(msgspec.Struct):
    data: tuple[_Model, ...]


class LoadContent(msgspec.Struct, frozen=True):
    """Content of an order to load models."""

    load_models: tuple[str, ...]


class Order(msgspec.Struct, frozen=True):
    """An order with its fencing number."""

    fencing: int
    content: LoadContent


class HttpOrderedServer(OrderedServer):
    """A model engine that takes orders over HTTP."""

    def __init__(self, name: str, url: str, client: HttpClient) -> None:
        """Remember where it is."""
        self.name = name
        self._url = url.rstrip('/')
        self._client = client

    async def models(self) -> frozenset[str] | None:
        """Tell which models are loaded; ``None`` when it doesn't say."""
        reply = await self._call('GET', '/v1/models', b'', _ASK_SECONDS)
        if reply is None or reply.status != HTTPStatus.OK:
            return None
        try:
            listed = msgspec.json.decode(reply.body, type=_Models)
        except msgspec.DecodeError:
            return None
        return frozenset(model.id for model in listed.data)

    async def load_models(
        self,
        fencing: int,
        models: tuple[str, ...],
    ) -> OrderResult:
        """Order it to load models."""
        order = msgspec.json.encode(Order(fencing, LoadContent(models)))
        reply = await self._call('POST', '/orders', order, _ORDER_SECONDS)
        if reply is None:
            return OrderResult.UNKNOWN
        if reply.status == HTTPStatus.CONFLICT:
            return OrderResult.OLD_NUMBER
        accepted = reply.status == HTTPStatus.OK
        return OrderResult.ACCEPTED if accepted else OrderResult.UNKNOWN

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
    ) -> Reply | None:
        with anyio.move_on_after(seconds):
            try:
                return await self._client.call(
                    method,
                    f'{self._url}{path}',
                    headers=[('content-type', 'application/json')],
                    body=body,
                )
            except (NotSentError, BrokenError):
                return None
        return None
