"""A caller on one kept connection, cheap enough not to be what is measured."""

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
class Order:
    """What a caller asks for, over and over."""

    method: str
    path: str
    body: bytes
    token: str
    first_mark: bytes
    """Part of the answer at which the first token counts as received."""

    def encode(self, address: str) -> bytes:
        """Write the request as it goes over the wire."""
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
    """When the parts of an answer arrived after the request was sent."""

    first_seconds: float
    whole_seconds: float


class WrongAnswerError(Exception):
    """The answer is not the one that is measured."""


class Connection:
    """One kept connection that sends the same request again and again."""

    def __init__(self, url: str, order: Order) -> None:
        """Connect.

        :param url: ``http://IP:port``.
        """
        address = url.rpartition('/')[2]
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection(
            (host, int(port)),
            _TIMEOUT_SECONDS,
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = order.encode(address)
        self._first_mark = order.first_mark

    def __enter__(self) -> Self:
        """Hand out the connection."""
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
        """Make one call and read its whole answer.

        :raises WrongAnswerError: it is no success or it breaks off.
        """
        began = time.perf_counter()
        self._socket.sendall(self._request)
        first: float | None = None
        answer = bytearray()
        while not _is_whole(answer):
            piece = self._socket.recv(_READ_BYTES)
            if not piece:
                raise WrongAnswerError(bytes(answer))
            answer += piece
            if first is None and self._first_mark in answer:
                first = time.perf_counter()
        if first is None or not answer.startswith(b'HTTP/1.1 200'):
            raise WrongAnswerError(bytes(answer))
        return Timing(first - began, time.perf_counter() - began)


def _is_whole(answer: bytearray) -> bool:
    head_end = answer.find(_HEAD_END)
    if head_end < 0:
        return False
    body_start = head_end + len(_HEAD_END)
    head = bytes(answer[:head_end]).lower()
    length_start = head.find(_LENGTH)
    if length_start < 0:
        return answer.endswith(_LAST_CHUNK)
    length = head[length_start + len(_LENGTH) :].partition(b'\r\n')[0]
    return len(answer) - body_start >= int(length)
