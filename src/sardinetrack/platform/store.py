"""The only client of the platform's store; implements ``ObjectApi``."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

import msgspec

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
_BodyT = TypeVar('_BodyT')


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _NameOnly(msgspec.Struct):
    name: str


class _NamedObject(msgspec.Struct):
    metadata: _NameOnly


class _Page(msgspec.Struct, rename='camel'):
    # Revision of the whole store, not of any object.
    as_of: int
    # Decoded one by one, since an object that can't be decoded must not affect
    # the others.
    items: list[msgspec.Raw] = []
    truncated: bool = False


class _Change(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Changes(msgspec.Struct, rename='camel'):
    as_of: int
    events: list[_Change] = []


class PlatformStore(ObjectApi):
    """Objects under ``KIND/NAME``; every call has a timeout."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create a client that opens connections when they are needed.

        :param address: IP and port of the store.
        """
        self._address = address
        self._pool = ConnectionPool()
        self.counters = StoreCounters()

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        status, body = await self._call(_READ, key)
        if status == HTTPStatus.NOT_FOUND:
            return None
        _raise_for_status(_READ, status)
        return _to_stored_object(key.partition('/')[0], _decode(body, _Object))

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
        _raise_for_status('PUT', status, response_body, kind)
        return _to_stored_object(kind, _decode(response_body, _Object))

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        query = {'revision': expected_version}
        status, body = await self._call('DELETE', key, query=query)
        _raise_for_status('DELETE', status, body, key.partition('/')[0])
        return expected_version

    async def list(self, prefix: str) -> Listing:
        """Read all objects of a kind, page by page."""
        kind = prefix.rstrip('/')
        found: list[StoredObject] = []
        query: dict[str, str | int] = {}
        while True:
            status, body = await self._call(_READ, kind, query=query)
            _raise_for_status(_READ, status)
            page = _decode(body, _Page)
            decoded = self._decode_each(kind, page.as_of, page.items)
            found.extend(decoded)
            if not page.truncated or not decoded:
                return Listing(page.as_of, tuple(found))
            query = {'after': decoded[-1].key.partition('/')[2]}

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
        _raise_for_status(_READ, status)
        changes = _decode(body, _Changes)
        found: list[StoredObject] = []
        for change in changes.events:
            decoded = self._decode_each(kind, changes.as_of, [change.object])
            found.extend(
                replace(one, deleted=change.removed) for one in decoded
            )
        return Listing(changes.as_of, tuple(found))

    def _decode_each(
        self,
        kind: str,
        as_of: int,
        items: Sequence[msgspec.Raw],
    ) -> Sequence[StoredObject]:
        """Decode each object separately.

        Any writer may put any bytes into the store. An undecodable object that
        has a name is returned with an empty value, so that its earlier content
        is not used any longer; one without a name can't be an object that this
        client knows.
        """
        found: list[StoredObject] = []
        for raw in items:
            try:
                found.append(_to_stored_object(kind, _decode(raw, _Object)))
            except NoResponseError:
                self.counters.unreadable += 1
                found.extend(_empty_object(kind, as_of, raw))
        return found

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


def _raise_for_status(
    method: str,
    status: int,
    body: bytes = b'',
    kind: str = '',
) -> None:
    if status < HTTPStatus.MULTIPLE_CHOICES:
        return
    missing = status == HTTPStatus.NOT_FOUND and method != _READ
    if missing or status == HTTPStatus.CONFLICT:
        current = (
            None if missing else _to_stored_object(kind, _decode(body, _Object))
        )
        raise ConflictError(current)
    raise _error_for_status(method, status)


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


def _empty_object(
    kind: str, as_of: int, raw: msgspec.Raw
) -> list[StoredObject]:
    try:
        named = msgspec.json.decode(raw, type=_NamedObject)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return []
    name = named.metadata.name
    return [StoredObject(f'{kind}/{name}', as_of, b'')]


def _decode(body: bytes | msgspec.Raw, kind: type[_BodyT]) -> _BodyT:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise NoResponseError(f'unreadable response: {error}') from error


def _to_stored_object(
    kind: str, decoded: _Object, *, deleted: bool = False
) -> StoredObject:
    metadata = decoded.metadata
    return StoredObject(
        f'{kind}/{metadata.name}',
        metadata.revision,
        bytes(decoded.spec),
        deleted,
    )
