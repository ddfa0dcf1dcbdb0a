"""The only client of the platform's store; implements ``ObjectApi``."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

import msgspec

from sardinetrack.messages.json_input import UnreadableError
from sardinetrack.platform.store_messages import StoreReader
from sardinetrack.relay.connection_pool import ConnectionPool, NotConnectedError
from sardinetrack.relay.response_collector import ResponseCollector
from sardinetrack.store.api import (
    CallRejectedError,
    ConflictError,
    Listing,
    NoResponseError,
    ObjectApi,
    PlatformError,
    StoreCounters,
    StoredObject,
    ThrottledError,
    UnavailableError,
    UncertainError,
    WatchLostError,
)

CALL_TIMEOUT_SECONDS: Final = 0.9
"""The store responds in 4 ms; a slower call is on a silent connection."""
_WATCH_GRACE_SECONDS: Final = 0.6
_RETRY_AFTER_SECONDS: Final = 0.2
_MILLISECONDS: Final = 1000
_READ: Final = 'GET'
_ContentT = TypeVar('_ContentT')


class PlatformStore(ObjectApi):
    """Objects under ``KIND/NAME``; every call has a timeout."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create a client that opens connections when they are needed.

        :param address: IP and port of the store.
        """
        self._address = address
        self._pool = ConnectionPool()
        self.counters = StoreCounters()
        self._reader = StoreReader(self.counters)

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        status, body = await self._call(_READ, key)
        if status == HTTPStatus.NOT_FOUND:
            return None
        self._check_status(_READ, key, status, body)
        return self._read(_READ, partial(self._reader.object, _kind(key)), body)

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally."""
        kind, _, name = key.partition('/')
        metadata: dict[str, object] = {'name': name}
        if expected_version:
            metadata['revision'] = expected_version
        body = msgspec.json.encode(
            {'metadata': metadata, 'spec': msgspec.Raw(value)},
        )
        is_new = expected_version == 0
        status, response_body = await self._call(
            'POST' if is_new else 'PUT',
            kind if is_new else key,
            body,
        )
        self._check_status('PUT', key, status, response_body)
        return self._read(
            'PUT', partial(self._reader.object, kind), response_body
        )

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        query = {'revision': expected_version}
        status, body = await self._call('DELETE', key, query=query)
        self._check_status('DELETE', key, status, body)
        return expected_version

    async def list(self, prefix: str) -> Listing:
        """Read all objects of a kind, page by page.

        The listing has the revision of its first page: what changes while the
        other pages are read is watched from there. With the last page's
        revision, a change of an object of an earlier page would be lost.
        """
        kind = prefix.rstrip('/')
        found: list[StoredObject] = []
        query: dict[str, str | int] = {}
        revision: int | None = None
        while True:
            status, body = await self._call(_READ, kind, query=query)
            self._check_status(_READ, kind, status, body)
            page = self._read(_READ, partial(self._reader.page, kind), body)
            listing = page.listing
            found.extend(listing.objects)
            if revision is None:
                revision = listing.revision
            if not page.truncated or not listing.objects:
                return Listing(revision, tuple(found))
            query = {'after': listing.objects[-1].key.partition('/')[2]}

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_seconds: float,
    ) -> Listing:
        """Wait for changes of a kind by one long poll."""
        kind = prefix.rstrip('/')
        status, body = await self._call(
            _READ,
            kind,
            query={
                'watch': after_revision,
                'waitMs': int(wait_seconds * _MILLISECONDS),
            },
            timeout_seconds=wait_seconds + _WATCH_GRACE_SECONDS,
        )
        self._check_status(_READ, kind, status, body)
        return self._read(_READ, partial(self._reader.changes, kind), body)

    def _check_status(
        self, method: str, key: str, status: int, body: bytes
    ) -> None:
        """Raise the error of a call that has failed."""
        if status < HTTPStatus.MULTIPLE_CHOICES:
            return
        missing = status == HTTPStatus.NOT_FOUND and method != _READ
        if missing:
            raise ConflictError(None)
        if status == HTTPStatus.CONFLICT:
            read = partial(self._reader.object, _kind(key))
            raise ConflictError(self._read(method, read, body))
        raise _error_for_status(method, status)

    def _read(
        self, method: str, read: Callable[[bytes], _ContentT], body: bytes
    ) -> _ContentT:
        """Decode a response; an unreadable one is as good as none."""
        try:
            return read(body)
        except UnreadableError as error:
            raise _no_response_error(
                method, f'unreadable response: {error}'
            ) from error

    async def _call(
        self,
        method: str,
        key: str,
        body: bytes = b'',
        *,
        query: dict[str, Any] | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> tuple[int, bytes]:
        self.counters.calls += 1
        request = self._request(method, key, body, query)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._exchange(method, request)
        except NotConnectedError as error:
            raise UnavailableError(str(error) or 'no connection') from error
        except TimeoutError as error:
            raise _no_response_error(method, 'no response in time') from error

    def _request(
        self,
        method: str,
        key: str,
        body: bytes,
        query: dict[str, Any] | None,
    ) -> bytes:
        path = f'/v1/objects/{key}'
        if query:
            path = f'{path}?{urlencode(query)}'
        ip, port = self._address
        lines = (
            f'{method} {path} HTTP/1.1',
            f'host: {ip}:{port}',
            f'content-length: {len(body)}',
            'content-type: application/json',
        )
        head = '\r\n'.join(lines).encode()
        return b'%b\r\n\r\n%b' % (head, body)

    async def _exchange(
        self,
        method: str,
        request: bytes,
    ) -> tuple[int, bytes]:
        connection = await self._pool.acquire(self._address)
        response = ResponseCollector()
        try:
            connection.send(request, response)
            break_reason = await response.done
        except BaseException:
            # A late response on this connection would be taken for that of the
            # next call.
            connection.abort()
            raise
        finally:
            self._pool.release(self._address, connection)
        if break_reason is not None:
            raise _no_response_error(method, break_reason.value)
        return response.status, response.body


def _no_response_error(
    method: str, detail: str
) -> NoResponseError | UncertainError:
    # A write whose response is lost may have taken effect, or take effect
    # seconds later; only a read certainly has none.
    if method == _READ:
        return NoResponseError(detail)
    return UncertainError(detail)


def _kind(key: str) -> str:
    return key.partition('/')[0]


def _error_for_status(method: str, status: int) -> PlatformError:
    text = f'status {status}'
    match status:
        case HTTPStatus.TOO_MANY_REQUESTS:
            return ThrottledError(_RETRY_AFTER_SECONDS)
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return UnavailableError(text)
        case HTTPStatus.GONE:
            return WatchLostError(text)
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _no_response_error(method, text)
    return CallRejectedError(text)
