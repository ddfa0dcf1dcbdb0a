"""The object calls of the platform's stand-in."""

from __future__ import annotations

from http import HTTPStatus

import anyio

from sardinetrack.http.asgi import Exchange
from sardinetrack.standin.platform_faults import FaultGate
from sardinetrack.store.api import (
    MAX_VALUE_BYTES,
    ConflictError,
    Listing,
    UnavailableError,
    WatchLostError,
)
from sardinetrack.store.in_process import MemoryPlatform
from sardinetrack.store.wire import (
    ConflictBody,
    ObjectBody,
    listing_body,
    object_body,
)


class ObjectCalls:
    """Answers reads, conditional writes and watches."""

    def __init__(self, platform: MemoryPlatform, gate: FaultGate) -> None:
        """Remember the store and the faults."""
        self._platform = platform
        self._gate = gate

    async def get(self, exchange: Exchange, key: str) -> None:
        """Answer a read of one object."""
        stored = await self._platform.get(key)
        if stored is None:
            await exchange.respond(HTTPStatus.NOT_FOUND)
            return
        await exchange.answer_json(HTTPStatus.OK, object_body(stored))

    async def put(self, exchange: Exchange, key: str, value: bytes) -> None:
        """Answer a write."""
        if len(value) > MAX_VALUE_BYTES:
            await exchange.respond(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        value.decode()
        try:
            stored = await self._platform.put(
                key,
                value,
                expected_version=_expected_version(exchange),
            )
        except ConflictError as error:
            await _answer_conflict(exchange, error)
            return
        await self._answer_write(exchange, object_body(stored))

    async def delete(self, exchange: Exchange, key: str) -> None:
        """Answer a deletion, which must name the version."""
        expected_version = _expected_version(exchange)
        if expected_version is None:
            await exchange.respond(HTTPStatus.PRECONDITION_REQUIRED)
            return
        try:
            version = await self._platform.delete(
                key,
                expected_version=expected_version,
            )
        except ConflictError as error:
            await _answer_conflict(exchange, error)
            return
        gone = ObjectBody(key, version, deleted=True)
        await self._answer_write(exchange, gone)

    async def list(self, exchange: Exchange, prefix: str) -> None:
        """Answer a read of all objects under a prefix."""
        listing = await self._platform.list(prefix)
        await exchange.answer_json(HTTPStatus.OK, listing_body(listing))

    async def watch(
        self,
        exchange: Exchange,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
    ) -> None:
        """Answer a watch, or cut it off as the faults want."""
        seen: Listing | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_gone, exchange, tasks.cancel_scope)
            try:
                seen = await self._platform.watch(
                    prefix,
                    after_revision=after_revision,
                    wait_seconds=wait_seconds,
                )
            except WatchLostError:
                await exchange.respond(HTTPStatus.GONE)
            except UnavailableError:
                await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE)
            tasks.cancel_scope.cancel()
        if seen is not None:
            await self._answer_watch(exchange, prefix, seen)

    async def _answer_watch(
        self,
        exchange: Exchange,
        prefix: str,
        seen: Listing,
    ) -> None:
        await self._gate.hold()
        if self._gate.faults.watch_break:
            await _cut(exchange)
            return
        if self._gate.faults.watch_repeat and seen.objects:
            every = await self._platform.list(prefix)
            seen = Listing(seen.revision, (*seen.objects, *every.objects))
        await exchange.answer_json(HTTPStatus.OK, listing_body(seen))

    async def _answer_write(
        self,
        exchange: Exchange,
        body: ObjectBody,
    ) -> None:
        if self._gate.loses_reply():
            await _cut(exchange)
        else:
            await exchange.answer_json(HTTPStatus.OK, body)


def _expected_version(exchange: Exchange) -> int | None:
    if exchange.header('if-none-match') == '*':
        return 0
    version = exchange.header('if-match')
    return int(version) if version else None


async def _answer_conflict(exchange: Exchange, error: ConflictError) -> None:
    current = object_body(error.current) if error.current else None
    await exchange.answer_json(
        HTTPStatus.PRECONDITION_FAILED,
        ConflictBody(current),
    )


async def _cut(exchange: Exchange) -> None:
    # Leaving with a body byte owed makes uvicorn close the connection.
    await exchange.start(HTTPStatus.OK, (('content-length', '1'),))


async def _cancel_when_gone(
    exchange: Exchange,
    scope: anyio.CancelScope,
) -> None:
    await exchange.wait_for_disconnect()
    scope.cancel()
