"""HTTP client of the platform's object API."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NoReturn, TypeVar
from urllib.parse import quote, urlencode

import anyio

from sardinetrack.http.client import (
    ConnectionBrokenError,
    HttpClient,
    HttpResponse,
    RequestNotSentError,
)
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.store.api import (
    CallRejectedError,
    ConflictError,
    ListedInstance,
    Listing,
    NoResponseError,
    Platform,
    PlatformError,
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
    listing_from_body,
    object_from_body,
)

_CALL_TIMEOUT_SECONDS: Final = 2.0
_WATCH_GRACE_SECONDS: Final = 1.0
_RETRY_AFTER_SECONDS: Final = 1.0
_READ: Final = 'GET'
_BodyT = TypeVar('_BodyT')
_OBJECTS: Final = JsonDecoder[ObjectBody](ObjectBody)
_LISTINGS: Final = JsonDecoder[ListingBody](ListingBody)
_CONFLICTS: Final = JsonDecoder[ConflictBody](ConflictBody)
_INSTANCES: Final = JsonDecoder[tuple[ListedInstance, ...]](
    tuple[ListedInstance, ...]
)


class HttpPlatform(Platform):
    """Calls the object API over HTTP; every call has a timeout."""

    def __init__(
        self,
        client: HttpClient,
        url: str,
        token: str,
        *,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Create a client of the platform.

        :param client: an open HTTP client; its owner closes it.
        :param url: base URL without a trailing slash.
        :param token: the bearer token.
        :param call_timeout_seconds: maximum wait for a complete response.
        """
        self._client = client
        self._url = url
        self._authorization = ('authorization', f'Bearer {token}')
        self._call_timeout_seconds = call_timeout_seconds

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        response = await self._call(_READ, _object_path(key))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return object_from_body(_decode_body(_READ, response, _OBJECTS))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally."""
        method = 'PUT'
        response = await self._call(
            method,
            _object_path(key),
            headers=_condition_headers(expected_version),
            body=value,
        )
        return object_from_body(_decode_body(method, response, _OBJECTS))

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        method = 'DELETE'
        response = await self._call(
            method,
            _object_path(key),
            headers=_condition_headers(expected_version),
        )
        return _decode_body(method, response, _OBJECTS).version

    async def list(self, prefix: str) -> Listing:
        """Read all objects under a prefix."""
        query = urlencode({'prefix': prefix})
        response = await self._call(_READ, f'/objects?{query}')
        return listing_from_body(_decode_body(_READ, response, _LISTINGS))

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
        response = await self._call(
            _READ,
            f'/watch?{query}',
            timeout_seconds=wait_seconds + _WATCH_GRACE_SECONDS,
        )
        return listing_from_body(_decode_body(_READ, response, _LISTINGS))

    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of instances."""
        response = await self._call(_READ, '/instances')
        return _decode_body(_READ, response, _INSTANCES)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b'',
        timeout_seconds: float | None = None,
    ) -> HttpResponse:
        limit_seconds = timeout_seconds or self._call_timeout_seconds
        try:
            with anyio.fail_after(limit_seconds):
                return await self._client.call(
                    method,
                    self._url + path,
                    headers=(self._authorization, *headers),
                    body=body,
                    read_timeout_seconds=limit_seconds,
                )
        except RequestNotSentError as error:
            raise UnavailableError(str(error)) from error
        except (ConnectionBrokenError, TimeoutError) as error:
            raise _no_response_error(method, str(error)) from error


def _no_response_error(
    method: str, detail: str
) -> NoResponseError | UncertainError:
    # A write whose response is lost may have taken effect: a caller that
    # treated it as rejected would write twice or give up a lease that it
    # holds.
    if method == _READ:
        return NoResponseError(detail or 'no response in time')
    return UncertainError(detail or 'no response in time')


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _condition_headers(
    expected_version: int | None,
) -> tuple[tuple[str, str], ...]:
    if expected_version is None:
        return ()
    if expected_version == 0:
        return (('if-none-match', '*'),)
    return (('if-match', str(expected_version)),)


def _decode_body(
    method: str, response: HttpResponse, decoder: JsonDecoder[_BodyT]
) -> _BodyT:
    if response.status != HTTPStatus.OK:
        _raise_for(method, response)
    try:
        return decoder.decode(response.body)
    except UnreadableError as error:
        raise _no_response_error(
            method, f'unreadable response: {error}'
        ) from error


def _raise_for(method: str, response: HttpResponse) -> NoReturn:
    raise _error_for_status(method, response)


def _error_for_status(method: str, response: HttpResponse) -> PlatformError:
    text = f'status {response.status}'
    match response.status:
        case HTTPStatus.PRECONDITION_FAILED:
            return _conflict_error(method, response)
        case HTTPStatus.TOO_MANY_REQUESTS:
            return ThrottledError(_retry_after_seconds(response))
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return UnavailableError(text)
        case HTTPStatus.GONE:
            return WatchLostError(text)
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _no_response_error(method, text)
    return CallRejectedError(text)


def _conflict_error(method: str, response: HttpResponse) -> PlatformError:
    try:
        current = _CONFLICTS.decode(response.body).current
    except UnreadableError as error:
        return _no_response_error(method, f'unreadable response: {error}')
    return ConflictError(object_from_body(current) if current else None)


def _retry_after_seconds(response: HttpResponse) -> float:
    try:
        return float(response.header('retry-after') or _RETRY_AFTER_SECONDS)
    except ValueError:
        return _RETRY_AFTER_SECONDS
