"""Stand-in for a plain service, which echoes requests."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import parse_qs

import anyio
import msgspec

from sardinetrack.standin.base import (
    BAD_REQUEST,
    OK,
    Request,
    StandIn,
)
from sardinetrack.standin.executions import Execution
from sardinetrack.standin.hosting import run
from sardinetrack.standin.settings import ServiceSettings

KEY_HEADER: Final = 'x-standin-key'

_LOOKUP: Final = '/lookup/'
_CHUNK: Final = b'0123456789abcdef' * 1024
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
_MIN_STATUS: Final = 200
_MAX_STATUS: Final = 599
_JSON: Final = ('content-type', 'application/json')
_BINARY: Final = ('content-type', 'application/octet-stream')


class _KeyedBody(msgspec.Struct):
    key: str


@dataclass(frozen=True, slots=True)
class _ResponseOptions:
    """Options of the response, given in the query."""

    status: int
    delay_seconds: float
    size_bytes: int | None
    headers: tuple[tuple[str, str], ...]

    @classmethod
    def parse(cls, query: str) -> _ResponseOptions:
        """Parse a query.

        :raises ValueError: an option is invalid.
        """
        fields = parse_qs(query)
        status = int(_first_or_default(fields, 'status', str(OK)))
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            raise ValueError(status)
        size = _first_or_default(fields, 'bytes', '')
        return cls(
            status,
            float(_first_or_default(fields, 'delay_seconds', '0')),
            int(size) if size else None,
            tuple(_split_header(text) for text in fields.get('header', ())),
        )


class Service(StandIn):
    """Echoes requests; runs each to its end even if its caller disconnects."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Build a service; needs a running event loop."""
        super().__init__(
            settings.faults,
            checks_fencing=settings.checks_fencing,
        )

    async def handle(self, request: Request) -> None:
        """Handle any method and path."""
        exchange = request.exchange
        try:
            options = _ResponseOptions.parse(
                exchange.scope['query_string'].decode()
            )
        except ValueError:
            await self.respond_error(request, BAD_REQUEST)
            return
        with self.executions.running(_key(request)) as execution:
            body = request.body.decode(errors='replace')
            if self.faults.current.crashes_on(f'{exchange.target} {body}'):
                await self.crash()
            await self._run(request, options, execution)

    async def _run(
        self,
        request: Request,
        options: _ResponseOptions,
        execution: Execution,
    ) -> None:
        await anyio.sleep(options.delay_seconds)
        await self.faults.wait_unfrozen()
        faults = self.faults.current
        execution.finish()
        await anyio.sleep(faults.late_seconds)
        if faults.error_status is not None:
            await self.respond_error(request, faults.error_status)
            return
        await self._respond(request, options, execution)

    async def _respond(
        self,
        request: Request,
        options: _ResponseOptions,
        execution: Execution,
    ) -> None:
        exchange = request.exchange
        if options.size_bytes is None:
            content = msgspec.json.encode(_content(request, execution))
            kind, chunks, size_bytes = _JSON, iter((content,)), len(content)
        else:
            size_bytes = options.size_bytes
            kind, chunks = _BINARY, _chunks(size_bytes)
        if options.status in _STATUSES_WITHOUT_BODY:
            await exchange.start(options.status, options.headers)
            await exchange.finish()
            return
        length = ('content-length', str(size_bytes))
        await exchange.start(options.status, (kind, length, *options.headers))
        for position, chunk in enumerate(chunks):
            if self.faults.current.cut_after_chunks == position:
                await self.abort_connection(request, execution)
            await exchange.write(chunk)
        await exchange.finish()


async def run_service(settings: ServiceSettings) -> None:
    """Serve a plain service until cancelled."""
    await run(Service(settings), settings.ip, settings.port)


def _first_or_default(
    fields: dict[str, list[str]], name: str, default: str
) -> str:
    return fields.get(name, [default])[0]


def _split_header(text: str) -> tuple[str, str]:
    name, _, content = text.partition(':')
    return (name, content)


def _key(request: Request) -> str:
    key = request.exchange.header(KEY_HEADER)
    if key is not None:
        return key
    try:
        return msgspec.json.decode(request.body, type=_KeyedBody).key
    except msgspec.MsgspecError:
        return request.route


def _content(request: Request, execution: Execution) -> dict[str, Any]:
    exchange = request.exchange
    content: dict[str, Any] = {
        'method': exchange.method,
        'target': exchange.target,
        'body_bytes': len(request.body),
        'body_sha256': hashlib.sha256(request.body).hexdigest(),
        'key': execution.key,
        'execution': execution.ordinal,
    }
    if exchange.path.startswith(_LOOKUP):
        lookup_id = exchange.path.removeprefix(_LOOKUP)
        content['lookup'] = {'id': lookup_id, 'title': f'title-{lookup_id}'}
    return content


def _chunks(size_bytes: int) -> Iterator[bytes]:
    for start in range(0, size_bytes, len(_CHUNK)):
        yield _CHUNK[: size_bytes - start]
