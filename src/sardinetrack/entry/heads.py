"""Checks of a request's head: its size, and that it has one meaning."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.errors.api import AnsweredError, ErrorKind

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
class HeadBounds:
    """What one connection may make the listener hold, and for how long."""

    max_bytes: int = _MAX_HEAD_BYTES
    max_headers: int = _MAX_HEADERS
    head_seconds: float = 10.0
    """From the first byte, or the connection's begin, to the head's end."""
    linger_seconds: float = 2.0
    """How long a body is thrown away after an early answer."""

    def check_size(self, size_bytes: int, headers: int) -> None:
        """Refuse a head that is too large.

        :raises AnsweredError: it is.
        """
        if size_bytes > self.max_bytes or headers > self.max_headers:
            raise AnsweredError(ErrorKind.HEADERS_TOO_LARGE)


def check_head(headers: Sequence[tuple[bytes, bytes]]) -> None:
    """Refuse a head that two readers could frame differently.

    A balancer in front that believes another length than we do would take
    the rest of one caller's body for the next caller's request.

    :param headers: names in lower case and texts.
    :raises AnsweredError: the head is ambiguous.
    """
    counts = Counter(name for name, _ in headers)
    repeated = [name.decode() for name in _SINGLE if counts[name] > 1]
    if repeated:
        raise AnsweredError(
            ErrorKind.BAD_REQUEST,
            f'{repeated[0]} is repeated',
        )
    if counts[_LENGTH] and counts[_CODING]:
        raise AnsweredError(
            ErrorKind.BAD_REQUEST,
            'both content-length and transfer-encoding are given',
        )
    codings = (text.lower() for name, text in headers if name == _CODING)
    if any(coding != b'chunked' for coding in codings):
        raise AnsweredError(
            ErrorKind.BAD_REQUEST,
            'the transfer-encoding is not supported',
        )
