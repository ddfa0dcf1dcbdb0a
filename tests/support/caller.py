"""A caller of the fleet: blocking HTTP calls and streams."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

import httpcore

_TIMEOUT: Final = MappingProxyType(
    {'connect': 5.0, 'read': 60.0, 'write': 60.0, 'pool': 5.0},
)


@dataclass
class CallerResponse:
    """A response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)

    @property
    def code(self) -> str:
        """The stable code of an error response."""
        return str(self.json()['error']['code'])


@dataclass
class CallerStream:
    """The server-sent events that a caller received."""

    status: int
    headers: dict[str, str]
    events: list[str] = field(default_factory=list)
    broken: bool = False
    remainder: bytes = b''
    """Bytes after the last complete event, or the body of an error."""

    @property
    def complete(self) -> bool:
        """Whether the protocol's final event arrived."""
        return bool(self.events) and self.events[-1] == '[DONE]'

    @property
    def errors(self) -> list[dict[str, Any]]:
        """The error events."""
        return [
            found['error']
            for found in map(json.loads, self._json_events())
            if 'error' in found
        ]

    @property
    def text(self) -> str:
        """The generated text received so far."""
        chunks: list[str] = []
        for event in map(json.loads, self._json_events()):
            for choice in event.get('choices', []):
                chunks.append(choice['delta'].get('content') or '')
        return ''.join(chunks)

    def _json_events(self) -> list[str]:
        return [event for event in self.events if event != '[DONE]']


class Caller:
    """Makes calls with one bearer token."""

    def __init__(self, token: str) -> None:
        self._token = token

    @contextmanager
    def connections(self) -> Iterator[httpcore.ConnectionPool]:
        """Return the connection pool for one call; it is closed afterwards."""
        with httpcore.ConnectionPool() as pool:
            yield pool

    def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> CallerResponse:
        """Make one call and read the response."""
        with self._response(method, url, body, headers) as response:
            content = response.read()
            return CallerResponse(response.status, _headers(response), content)

    def chat(
        self,
        entry_url: str,
        request: dict[str, Any],
        headers: dict[str, str] | None = None,
    ) -> CallerResponse:
        """Request a completion that is not streamed."""
        return self.call(
            'POST',
            f'{entry_url}/v1/chat/completions',
            json.dumps(request).encode(),
            headers,
        )

    def stream(
        self,
        entry_url: str,
        request: dict[str, Any],
        headers: dict[str, str] | None = None,
    ) -> CallerStream:
        """Request a streamed completion and read it to its end."""
        url = f'{entry_url}/v1/chat/completions'
        body = json.dumps({**request, 'stream': True}).encode()
        with self._response('POST', url, body, headers) as response:
            received = CallerStream(response.status, _headers(response))
            rest = b''
            try:
                for chunk in response.iter_stream():
                    rest = _split_events(rest + chunk, received.events)
                    received.remainder = rest
            except (httpcore.NetworkError, httpcore.ProtocolError):
                received.broken = True
            return received

    def disconnect_midway(
        self, entry_url: str, request: dict[str, Any]
    ) -> None:
        """Begin to read a streamed completion, then disconnect."""
        url = f'{entry_url}/v1/chat/completions'
        body = json.dumps({**request, 'stream': True}).encode()
        with self._response('POST', url, body, None) as response:
            next(response.iter_stream(), None)

    @contextmanager
    def _response(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str] | None,
    ) -> Iterator[httpcore.Response]:
        sent = {'authorization': f'Bearer {self._token}', **(headers or {})}
        with (
            self.connections() as pool,
            pool.stream(
                method,
                url,
                headers=list(sent.items()),
                content=body,
                extensions={'timeout': dict(_TIMEOUT)},
            ) as response,
        ):
            yield response


def _headers(response: httpcore.Response) -> dict[str, str]:
    return {
        key.decode().lower(): text.decode() for key, text in response.headers
    }


def _split_events(buffer: bytes, events: list[str]) -> bytes:
    *complete, rest = buffer.split(b'\n\n')
    events.extend(
        block.removeprefix(b'data: ').decode()
        for block in complete
        if block.startswith(b'data: ')
    )
    return rest


class KeepAliveCaller(Caller):
    """Reuses connections between calls; each thread has its own pool.

    A pool that threads share closes connections that another thread uses: 6 of
    300 callers then read from a closed file descriptor.
    """

    def __init__(self, token: str) -> None:
        super().__init__(token)
        self._local = threading.local()

    @contextmanager
    def connections(self) -> Iterator[httpcore.ConnectionPool]:
        """Return the connection pool of this thread; it stays open."""
        if not hasattr(self._local, 'pool'):
            self._local.pool = httpcore.ConnectionPool()
        yield self._local.pool
