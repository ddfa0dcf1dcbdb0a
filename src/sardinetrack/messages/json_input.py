"""Decodes JSON that another program has written."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec

ContentT = TypeVar('ContentT')


class UnreadableError(ValueError):
    """A text is not valid JSON, or not of the expected type."""


class JsonDecoder(Generic[ContentT]):
    """Decodes texts of one type; every fault of a text is one error.

    The library raises an error of its own for most faults, but others for
    invalid UTF-8 and for a text that is nested too deeply.
    """

    def __init__(self, expected: Any, *, strict: bool = True) -> None:
        """Prepare to decode.

        :param expected: the type, as the library takes it.
        :param strict: whether a number may not be written as a string.
        """
        decoder = msgspec.json.Decoder(expected, strict=strict)
        self._decode = decoder.decode

    def decode(self, text: bytes | msgspec.Raw | str) -> ContentT:
        """Decode a text.

        :raises UnreadableError: it can't be decoded.
        """
        try:
            content: ContentT = self._decode(text)
        except (ValueError, RecursionError) as error:
            raise UnreadableError(str(error)) from error
        return content
