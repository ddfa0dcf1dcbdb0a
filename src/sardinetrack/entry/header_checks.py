"""Checks the head of a request: its size and unambiguous framing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.errors.api import ErrorKind, RequestError

_MAX_HEAD_BYTES: Final = 32_768
_MAX_HEADERS: Final = 100
_LENGTH: Final = b'content-length'
_CODING: Final = b'transfer-encoding'
_SINGLE: Final = (
    _LENGTH,
    _CODING,
    b'host',
    b'authorization',
    b'idempotency-key',
    b'x-request-id',
)


@dataclass(frozen=True, slots=True)
class HeaderLimits:
    """Limits on the size of a request head and on the time to read it."""

    max_bytes: int = _MAX_HEAD_BYTES
    max_headers: int = _MAX_HEADERS
    header_timeout_seconds: float = 10.0
    """Time from the connection's start, or the head's first byte, to the head's
    end."""
    linger_seconds: float = 2.0
    """How long the rest of a body is read and discarded after an early
    response."""

    def check_size(self, size_bytes: int, headers: int) -> None:
        """Check the size of a head.

        :param size_bytes: bytes of all header names and values.
        :param headers: number of headers.
        :raises RequestError: the head exceeds a limit.
        """
        if size_bytes > self.max_bytes or headers > self.max_headers:
            raise RequestError(ErrorKind.HEADERS_TOO_LARGE)


def check_head(headers: Sequence[tuple[bytes, bytes]]) -> None:
    """Check that two HTTP parsers would frame a request alike.

    A load balancer that derives another body length than this parser would
    treat the rest of one caller's body as the next caller's request (request
    smuggling).

    :param headers: pairs of lower-case name and value.
    :raises RequestError: the head is ambiguous.
    """
    counts = Counter(name for name, _ in headers)
    repeated = [name.decode() for name in _SINGLE if counts[name] > 1]
    if repeated:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f'{repeated[0]} is repeated',
        )
    if counts[_LENGTH] and counts[_CODING]:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            'content-length and transfer-encoding are mutually exclusive',
        )
    codings = (text.lower() for name, text in headers if name == _CODING)
    if any(coding != b'chunked' for coding in codings):
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            'the transfer-encoding is not supported',
        )
