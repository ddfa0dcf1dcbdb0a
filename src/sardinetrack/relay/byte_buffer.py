"""Collects bytes that arrive in pieces."""

from __future__ import annotations


class ByteBuffer:
    """Joins pieces as they arrive.

    A list of the pieces would need many times their size where each of them
    holds a single byte.
    """

    def __init__(self) -> None:
        self._first = b''
        self._joined = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self._joined) or len(self._first)

    def append(self, piece: bytes) -> None:
        """Add a piece; a single one is not copied."""
        if not self._first:
            self._first = piece
            return
        if not self._joined:
            self._joined += self._first
        self._joined += piece

    def content(self) -> bytes | bytearray:
        """Return all bytes; no piece may be added after that."""
        return self._joined or self._first

    def clear(self) -> None:
        """Discard all bytes."""
        self._first = b''
        self._joined = bytearray()
