"""A caller on one keep-alive connection, too cheap to distort a measurement."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

_READ_BYTES: Final = 65_536
_TIMEOUT_SECONDS: Final = 30.0
_HEAD_END: Final = b'\r\n\r\n'
_LAST_CHUNK: Final = b'0\r\n\r\n'
_LENGTH: Final = b'content-length:'


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """The request that a caller sends repeatedly."""

    method: str
    path: str
    body: bytes
    token: str
    first_token_mark: bytes
    """Text of the response at which the first token counts as received."""

    def encode(self, address: str) -> bytes:
        """Return the request as HTTP/1.1."""
        head = (
            f'{self.method} {self.path} HTTP/1.1\r\n'
            f'host: {address}\r\n'
            f'authorization: Bearer {self.token}\r\n'
            'content-type: application/json\r\n'
            f'content-length: {len(self.body)}\r\n\r\n'
        )
        return head.encode() + self.body


@dataclass(frozen=True, slots=True)
class Timing:
    """Times from sending the request to the parts of the response."""

    first_seconds: float
    complete_seconds: float


class UnexpectedResponseError(Exception):
    """The response is not a complete success."""


class Connection:
    """One keep-alive connection that sends the same request repeatedly."""

    def __init__(self, url: str, request: ProbeRequest) -> None:
        """Connect.

        :param url: ``http://IP:port``.
        :param request: the request that each call sends.
        """
        address = url.rpartition('/')[2]
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection(
            (host, int(port)),
            _TIMEOUT_SECONDS,
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._encoded_request = request.encode(address)
        self._first_token_mark = request.first_token_mark

    def __enter__(self) -> Self:
        """Return the connection."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close it."""
        self._socket.close()

    def call(self) -> Timing:
        """Send the request and read its complete response.

        :raises UnexpectedResponseError: it is not a success, or is truncated.
        """
        started = time.perf_counter()
        self._socket.sendall(self._encoded_request)
        first_token: float | None = None
        response = bytearray()
        while not _is_complete(response):
            chunk = self._socket.recv(_READ_BYTES)
            if not chunk:
                raise UnexpectedResponseError(bytes(response))
            response += chunk
            if first_token is None and self._first_token_mark in response:
                first_token = time.perf_counter()
        if first_token is None or not response.startswith(b'HTTP/1.1 200'):
            raise UnexpectedResponseError(bytes(response))
        return Timing(first_token - started, time.perf_counter() - started)


def _is_complete(response: bytearray) -> bool:
    head_end = response.find(_HEAD_END)
    if head_end < 0:
        return False
    body_start = head_end + len(_HEAD_END)
    head = bytes(response[:head_end]).lower()
    length_start = head.find(_LENGTH)
    if length_start < 0:
        return response.endswith(_LAST_CHUNK)
    length = head[length_start + len(_LENGTH) :].partition(b'\r\n')[0]
    return len(response) - body_start >= int(length)
