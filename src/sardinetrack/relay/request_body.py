"""Collects the body of one request, and holds the memory of its head."""

from __future__ import annotations

from sardinetrack.relay.byte_buffer import ByteBuffer
from sardinetrack.relay.held_bytes import BodyHold


class RequestBody:
    """Collects pieces while the entry has room for them."""

    def __init__(
        self, hold: BodyHold, max_bytes: int, head_bytes: int = 0
    ) -> None:
        """Start empty.

        :param hold: of the memory that the body needs.
        :param max_bytes: the longest body that is allowed.
        :param head_bytes: memory of the head, which is held with the body.
        """
        self.hold = hold
        self._max_bytes = max_bytes
        self._head_bytes = head_bytes
        self._size_bytes = 0
        self._buffer = ByteBuffer()

    @property
    def is_too_large(self) -> bool:
        """Whether more has arrived than is allowed."""
        return self._size_bytes > self._max_bytes

    def announce(self, size_bytes: int) -> bool:
        """Hold the memory for a body whose size is known before it arrives.

        :return: whether there is room for it.
        """
        size_bytes = min(size_bytes, self._max_bytes)
        return self.hold.grow(self._head_bytes + size_bytes)

    def append(self, piece: bytes) -> bool:
        """Add a piece, unless more has arrived than is allowed.

        :return: whether there is room for it.
        """
        self._size_bytes += len(piece)
        if self.is_too_large:
            self.drop()
            return True
        if not self.hold.grow(self.request_bytes):
            self.drop()
            return False
        self._buffer.append(piece)
        return True

    @property
    def request_bytes(self) -> int:
        """The size of head and body so far."""
        return self._head_bytes + self._size_bytes

    def take(self) -> bytes | bytearray:
        """Return the complete body, whose memory stays held."""
        return self._buffer.content()

    def drop(self) -> None:
        """Discard what has arrived, and hold nothing any more."""
        self._buffer.clear()
        self.hold.release()
