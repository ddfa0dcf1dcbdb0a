"""Object calls of the platform's stand-in."""

from __future__ import annotations

from http import HTTPStatus

import anyio

from sardinetrack.http.asgi import HttpExchange
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
    """Handles reads, conditional writes and watches."""

    def __init__(self, platform: MemoryPlatform, gate: FaultGate) -> None:
        """Build handlers for a store, with the faults of a gate."""
        self._platform = platform
        self._gate = gate

    async def get(self, exchange: HttpExchange, key: str) -> None:
        """Handle a read of one object."""
        stored = await self._platform.get(key)
        if stored is None:
            await exchange.respond(HTTPStatus.NOT_FOUND)
            return
        await exchange.respond_json(HTTPStatus.OK, object_body(stored))

    async def put(self, exchange: HttpExchange, key: str, value: bytes) -> None:
        """Handle a write."""
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
            await _respond_conflict(exchange, error)
            return
        await self._respond_write(exchange, object_body(stored))

    async def delete(self, exchange: HttpExchange, key: str) -> None:
        """Handle a deletion, which must name the expected version."""
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
            await _respond_conflict(exchange, error)
            return
        tombstone = ObjectBody(key, version, deleted=True)
        await self._respond_write(exchange, tombstone)

    async def list(self, exchange: HttpExchange, prefix: str) -> None:
        """Handle a read of all objects under a prefix."""
        listing = await self._platform.list(prefix)
        await exchange.respond_json(HTTPStatus.OK, listing_body(listing))

    async def watch(
        self,
        exchange: HttpExchange,
        prefix: str,
        after_revision: int,
        wait_seconds: float,
    ) -> None:
        """Handle a watch, or close its connection if a fault is active."""
        changes: Listing | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _cancel_on_disconnect, exchange, tasks.cancel_scope
            )
            try:
                changes = await self._platform.watch(
                    prefix,
                    after_revision=after_revision,
                    wait_seconds=wait_seconds,
                )
            except WatchLostError:
                await exchange.respond(HTTPStatus.GONE)
            except UnavailableError:
                await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE)
            tasks.cancel_scope.cancel()
        if changes is not None:
            await self._respond_watch(exchange, prefix, changes)

    async def _respond_watch(
        self,
        exchange: HttpExchange,
        prefix: str,
        changes: Listing,
    ) -> None:
        await self._gate.delay_call()
        if self._gate.faults.watch_break:
            await _close_early(exchange)
            return
        if self._gate.faults.watch_repeat and changes.objects:
            current = await self._platform.list(prefix)
            changes = Listing(
                changes.revision, (*changes.objects, *current.objects)
            )
        await exchange.respond_json(HTTPStatus.OK, listing_body(changes))

    async def _respond_write(
        self,
        exchange: HttpExchange,
        body: ObjectBody,
    ) -> None:
        if self._gate.drops_response():
            await _close_early(exchange)
        else:
            await exchange.respond_json(HTTPStatus.OK, body)


def _expected_version(exchange: HttpExchange) -> int | None:
    if exchange.header('if-none-match') == '*':
        return 0
    version = exchange.header('if-match')
    return int(version) if version else None


async def _respond_conflict(
    exchange: HttpExchange, error: ConflictError
) -> None:
    current = object_body(error.current) if error.current else None
    await exchange.respond_json(
        HTTPStatus.PRECONDITION_FAILED,
        ConflictBody(current),
    )


async def _close_early(exchange: HttpExchange) -> None:
    # Returning with one body byte missing makes uvicorn close the connection.
    await exchange.start(HTTPStatus.OK, (('content-length', '1'),))


async def _cancel_on_disconnect(
    exchange: HttpExchange,
    scope: anyio.CancelScope,
) -> None:
    await exchange.wait_for_disconnect()
    scope.cancel()
