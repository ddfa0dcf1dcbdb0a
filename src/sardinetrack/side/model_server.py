"""Load commands to the backend server over HTTP."""

from __future__ import annotations

import uuid
from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from sardinetrack.admission.server_condition import ServerCondition
from sardinetrack.http.client import (
    ConnectionBrokenError,
    HttpClient,
    HttpResponse,
    RequestNotSentError,
)
from sardinetrack.lease.model_loader import LoadResult, ModelServer
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.side.response_observer import ResponseObserver

_LIST_MODELS_SECONDS: Final = 2.0
_LOAD_MODELS_SECONDS: Final = 5.0


class _Model(msgspec.Struct):
    id: str


class _Models(msgspec.Struct):
    data: tuple[_Model, ...]


_LISTS: Final = JsonDecoder[_Models](_Models)


class LoadContent(msgspec.Struct, frozen=True):
    """Content of a load command."""

    load_models: tuple[str, ...]


class LoadCommand(msgspec.Struct, frozen=True):
    """A load command with its fencing token."""

    fencing: int
    content: LoadContent


class HttpModelServer(ModelServer):
    """A model engine that accepts load commands over HTTP."""

    def __init__(
        self,
        name: str,
        url: str,
        client: HttpClient,
        observer: ResponseObserver,
        condition: ServerCondition,
    ) -> None:
        """Create a client of the server.

        :param name: name of the backend server.
        :param url: ``http://IP:port``.
        :param client: HTTP client that makes the calls.
        :param observer: receives the head of each response.
        :param condition: whether the server may be called.
        """
        self.name = name
        self._url = url.rstrip('/')
        self._client = client
        self._observer = observer
        self._condition = condition

    async def models(self) -> frozenset[str] | None:
        """Return the loaded models; ``None`` when they are unknown."""
        response = await self._call(
            'GET', '/v1/models', b'', _LIST_MODELS_SECONDS
        )
        if response is None or response.status != HTTPStatus.OK:
            return None
        try:
            listed = _LISTS.decode(response.body)
        except UnreadableError:
            return None
        return frozenset(model.id for model in listed.data)

    async def load_models(
        self,
        fencing_token: int,
        models: tuple[str, ...],
    ) -> LoadResult:
        """Send a load command."""
        command = msgspec.json.encode(
            LoadCommand(fencing_token, LoadContent(models))
        )
        response = await self._call(
            'POST', '/orders', command, _LOAD_MODELS_SECONDS
        )
        if response is None:
            return LoadResult.UNKNOWN
        if response.status == HTTPStatus.CONFLICT:
            return LoadResult.OLD_NUMBER
        accepted = response.status == HTTPStatus.OK
        return LoadResult.ACCEPTED if accepted else LoadResult.UNKNOWN

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
    ) -> HttpResponse | None:
        sent_at = anyio.current_time()
        if not self._condition.accepts_work(sent_at):
            return None
        with anyio.move_on_after(seconds):
            try:
                response = await self._client.call(
                    method,
                    f'{self._url}{path}',
                    headers=[('content-type', 'application/json')],
                    body=body,
                    exchange_id=uuid.uuid4().hex,
                )
            except (RequestNotSentError, ConnectionBrokenError):
                return None
            await self._observer.observe(response, sent_at)
            return response
        return None
