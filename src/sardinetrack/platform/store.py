"""The platform's store behind the product's object API; the only client."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

import msgspec

from sardinetrack.relay.server_connection import (
    BreakReason,
    ReplySink,
)
from sardinetrack.relay.server_pool import NotConnectedError, ServerPool
from sardinetrack.store.api import (
    ConflictError,
    Listing,
    NoAnswerError,
    ObjectApi,
    PlatformError,
    RefusedError,
    StoredObject,
    StoreUse,
    ThrottledError,
    UnavailableError,
    UncertainError,
    WatchLostError,
)

CALL_SECONDS: Final = 0.9
"""A call that takes longer has met a silent connection; it answers in 4 ms."""
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


class _Named(msgspec.Struct):
    name: str


class _NamedObject(msgspec.Struct):
    metadata: _Named


class _Page(msgspec.Struct, rename='camel'):
    # The revision of the whole store, not of any object.
    as_of: int
    # Each is read by itself: one that can't be must not cost the others.
    items: list[msgspec.Raw] = []
    truncated: bool = False


class _Change(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Changes(msgspec.Struct, rename='camel'):
    as_of: int
    events: list[_Change] = []


class _Answer(ReplySink):
    """Collects one answer."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[BreakReason | None] = loop.create_future()
        self.status = 0
        self.body = b''

    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.status = status

    def piece(self, piece: bytes) -> None:
        self.body += piece

    def whole(self) -> None:
        if not self.done.done():
            self.done.set_result(None)

    def broken(self, reason: BreakReason) -> None:
        if not self.done.done():
            self.done.set_result(reason)


class PlatformStore(ObjectApi):
    """Objects by ``KIND/NAME``; every call ends within a bound."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Remember where the store is."""
        self._address = address
        self._pool = ServerPool()
        self.use = StoreUse()

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        status, body = await self._call(_READ, key)
        if status == HTTPStatus.NOT_FOUND:
            return None
        _check(_READ, status)
        return _stored(key.partition('/')[0], _decode(body, _Object))

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
        creates = expected_version == 0
        status, answer = await self._call(
            'POST' if creates else 'PUT',
            kind if creates else key,
            body,
        )
        _check('PUT', status, answer, kind)
        return _stored(kind, _decode(answer, _Object))

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        query = {'revision': expected_version}
        status, body = await self._call('DELETE', key, query=query)
        _check('DELETE', status, body, key.partition('/')[0])
        return expected_version

    async def list(self, prefix: str) -> Listing:
        """Read all objects of a kind, page by page."""
        kind = prefix.rstrip('/')
        found: list[StoredObject] = []
        query: dict[str, str | int] = {}
        while True:
            status, body = await self._call(_READ, kind, query=query)
            _check(_READ, status)
            page = _decode(body, _Page)
            read = self._readable(kind, page.as_of, page.items)
            found.extend(read)
            if not page.truncated or not read:
                return Listing(page.as_of, tuple(found))
            query = {'after': read[-1].key.partition('/')[2]}

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
        _check(_READ, status)
        changes = _decode(body, _Changes)
        found: list[StoredObject] = []
        for change in changes.events:
            read = self._readable(kind, changes.as_of, [change.object])
            found.extend(replace(one, deleted=change.removed) for one in read)
        return Listing(changes.as_of, tuple(found))

    def _readable(
        self,
        kind: str,
        as_of: int,
        items: Sequence[msgspec.Raw],
    ) -> Sequence[StoredObject]:
        """Read each object by itself.

        Any writer may put any bytes into the store. What has a name stands
        there as an object that says nothing, so that nobody goes on with what
        stood there before; what has none can't be an object we know.
        """
        found: list[StoredObject] = []
        for raw in items:
            try:
                found.append(_stored(kind, _decode(raw, _Object)))
            except NoAnswerError:
                self.use.unreadable += 1
                found.extend(_named(kind, as_of, raw))
        return found

    async def _call(
        self,
        method: str,
        key: str,
        body: bytes = b'',
        *,
        query: dict[str, Any] | None = None,
        timeout_seconds: float = CALL_SECONDS,
    ) -> tuple[int, bytes]:
        self.use.calls += 1
        request = self._request(method, key, body, query)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._exchange(method, request)
        except NotConnectedError as error:
            raise UnavailableError(str(error) or 'no connection') from error
        except TimeoutError as error:
            raise _no_answer(method, 'no answer in time') from error

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
        connection = await self._pool.take(self._address)
        answer = _Answer()
        try:
            connection.send(request, answer)
            broken = await answer.done
        except BaseException:
            # The answer may still come on it, and would then be taken for
            # that of the next call.
            connection.abort()
            raise
        finally:
            self._pool.give_back(self._address, connection)
        if broken is not None:
            raise _no_answer(method, broken.value)
        return answer.status, answer.body


def _no_answer(method: str, detail: str) -> NoAnswerError | UncertainError:
    # A write whose answer is lost may stand in the store, or stand there
    # seconds later; only a read is surely without effect.
    if method == _READ:
        return NoAnswerError(detail)
    return UncertainError(detail)


def _check(
    method: str,
    status: int,
    body: bytes = b'',
    kind: str = '',
) -> None:
    if status < HTTPStatus.MULTIPLE_CHOICES:
        return
    missing = status == HTTPStatus.NOT_FOUND and method != _READ
    if missing or status == HTTPStatus.CONFLICT:
        current = None if missing else _stored(kind, _decode(body, _Object))
        raise ConflictError(current)
    raise _error_of(method, status)


def _error_of(method: str, status: int) -> PlatformError:
    text = f'status {status}'
    match status:
        case HTTPStatus.TOO_MANY_REQUESTS:
            return ThrottledError(_RETRY_AFTER_SECONDS)
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return UnavailableError(text)
        case HTTPStatus.GONE:
            return WatchLostError(text)
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _no_answer(method, text)
    return RefusedError(text)


def _named(kind: str, as_of: int, raw: msgspec.Raw) -> list[StoredObject]:
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
        raise NoAnswerError(f'unreadable answer: {error}') from error


def _stored(kind: str, read: _Object, *, deleted: bool = False) -> StoredObject:
    metadata = read.metadata
    return StoredObject(
        f'{kind}/{metadata.name}',
        metadata.revision,
        bytes(read.spec),
        deleted,
    )
