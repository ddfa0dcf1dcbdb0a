"""The platform over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NoReturn, TypeVar
from urllib.parse import quote, urlencode

import anyio
import msgspec

from sardinetrack.http.client import (
    BrokenError,
    HttpClient,
    NotSentError,
    Reply,
)
from sardinetrack.store.api import (
    ConflictError,
    ListedInstance,
    Listing,
    NoAnswerError,
    Platform,
    PlatformError,
    RefusedError,
    StoredObject,
    ThrottledError,
    UnavailableError,
    UncertainError,
    WatchLostError,
)
from sardinetrack.store.wire import (
    ConflictBody,
    ListingBody,
    ObjectBody,
    listing_of,
    object_of,
)

_CALL_TIMEOUT_SECONDS: Final = 2.0
_WATCH_GRACE_SECONDS: Final = 1.0
_RETRY_AFTER_SECONDS: Final = 1.0
_READ: Final = 'GET'
_BodyT = TypeVar('_BodyT')


class HttpPlatform(Platform):
    """Calls on the object API; every call ends within a bound."""

    def __init__(
        self,
        client: HttpClient,
        url: str,
        token: str,
        *,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Remember where the platform is.

        :param client: an open client; its owner closes it.
        :param url: base URL without a trailing slash.
        :param token: the bearer token.
        :param call_timeout_seconds: longest wait for a whole answer.
        """
        self._client = client
        self._url = url
        self._authorization = ('authorization', f'Bearer {token}')
        self._call_timeout_seconds = call_timeout_seconds

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        reply = await self._call(_READ, _object_path(key))
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return object_of(_body_of(_READ, reply, ObjectBody))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally."""
        method = 'PUT'
        reply = await self._call(
            method,
            _object_path(key),
            headers=_condition(expected_version),
            body=value,
        )
        return object_of(_body_of(method, reply, ObjectBody))

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        method = 'DELETE'
        reply = await self._call(
            method,
            _object_path(key),
            headers=_condition(expected_version),
        )
        return _body_of(method, reply, ObjectBody).version

    async def list(self, prefix: str) -> Listing:
        """Read all objects under a prefix."""
        query = urlencode({'prefix': prefix})
        reply = await self._call(_READ, f'/objects?{query}')
        return listing_of(_body_of(_READ, reply, ListingBody))

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_seconds: float,
    ) -> Listing:
        """Wait for changes by one long poll."""
        query = urlencode(
            {
                'prefix': prefix,
                'after': after_revision,
                'wait_seconds': wait_seconds,
            }
        )
        reply = await self._call(
            _READ,
            f'/watch?{query}',
            timeout_seconds=wait_seconds + _WATCH_GRACE_SECONDS,
        )
        return listing_of(_body_of(_READ, reply, ListingBody))

    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of instances."""
        reply = await self._call(_READ, '/instances')
        return _body_of(_READ, reply, tuple[ListedInstance, ...])

    async def _call(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b'',
        timeout_seconds: float | None = None,
    ) -> Reply:
        bound_seconds = timeout_seconds or self._call_timeout_seconds
        try:
            with anyio.fail_after(bound_seconds):
                return await self._client.call(
                    method,
                    self._url + path,
                    headers=(self._authorization, *headers),
                    body=body,
                    read_seconds=bound_seconds,
                )
        except NotSentError as error:
            raise UnavailableError(str(error)) from error
        except (BrokenError, TimeoutError) as error:
            raise _no_answer(method, str(error)) from error


def _no_answer(method: str, detail: str) -> NoAnswerError | UncertainError:
    # A write whose answer is lost may stand in the store: a caller that took
    # it for refused would write twice or give up a lease that it holds.
    if method == _READ:
        return NoAnswerError(detail or 'no answer in time')
    return UncertainError(detail or 'no answer in time')


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _condition(expected_version: int | None) -> tuple[tuple[str, str], ...]:
    if expected_version is None:
        return ()
    if expected_version == 0:
        return (('if-none-match', '*'),)
    return (('if-match', str(expected_version)),)


def _body_of(method: str, reply: Reply, kind: type[_BodyT]) -> _BodyT:
    if reply.status != HTTPStatus.OK:
        _raise_for(method, reply)
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        raise _no_answer(method, f'unreadable answer: {error}') from error


def _raise_for(method: str, reply: Reply) -> NoReturn:
    raise _error_of(method, reply)


def _error_of(method: str, reply: Reply) -> PlatformError:
    text = f'status {reply.status}'
    match reply.status:
        case HTTPStatus.PRECONDITION_FAILED:
            return _conflict(method, reply)
        case HTTPStatus.TOO_MANY_REQUESTS:
            return ThrottledError(_retry_after_seconds(reply))
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return UnavailableError(text)
        case HTTPStatus.GONE:
            return WatchLostError(text)
    if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _no_answer(method, text)
    return RefusedError(text)


def _conflict(method: str, reply: Reply) -> PlatformError:
    try:
        current = msgspec.json.decode(reply.body, type=ConflictBody).current
    except msgspec.DecodeError as error:
        return _no_answer(method, f'unreadable answer: {error}')
    return ConflictError(object_of(current) if current else None)


def _retry_after_seconds(reply: Reply) -> float:
    try:
        return float(reply.header('retry-after') or _RETRY_AFTER_SECONDS)
    except ValueError:
        return _RETRY_AFTER_SECONDS
