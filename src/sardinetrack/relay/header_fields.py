"""The header fields of one request, in the memory of their bytes."""

from __future__ import annotations

from array import array
from collections.abc import Iterator


class HeaderFields:
    """Collects fields; each is an object of its own only while it is read.

    A list of pairs takes a hundred times the bytes of short fields.
    """

    def __init__(self) -> None:
        """Start without fields."""
        self._text = bytearray()
        self._lengths = array('I')

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        """Yield the names and contents in order."""
        start = 0
        lengths = iter(self._lengths)
        for name_length, length in zip(lengths, lengths, strict=True):
            middle = start + name_length
            end = middle + length
            name = bytes(self._text[start:middle])
            yield name, bytes(self._text[middle:end])
            start = end

    def append(self, name: bytes, content: bytes) -> None:
        """Add a field."""
        self._text += name
        self._text += content
        self._lengths.append(len(name))
        self._lengths.append(len(content))

    @property
    def size_bytes(self) -> int:
        """The memory that the fields take."""
        return len(self._text) + len(self._lengths) * self._lengths.itemsize
