"""Chat requests to the stand-in, and the text it generates for them."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterator
from typing import Final

import msgspec

_DEFAULT_OUTPUT_TOKENS: Final = 16
_KEY_LENGTH: Final = 16
_KEY_MARKER: Final = re.compile(r'\bid=([\w.-]+)')
_TOKENS_MARKER: Final = re.compile(r'\btokens=(\d+)')


class _ContentPart(msgspec.Struct):
    text: str = ''


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str | list[_ContentPart] | None = None

    @property
    def text(self) -> str:
        """The text of all content parts."""
        if isinstance(self.content, list):
            return ' '.join(part.text for part in self.content)
        return self.content or ''


class ChatRequest(msgspec.Struct):
    """The body of a chat completion request, as far as it is used here."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def text(self) -> str:
        """The complete prompt."""
        return ' '.join(message.text for message in self.messages)

    @property
    def last_text(self) -> str:
        """The text of the last message, which may contain the markers."""
        return self.messages[-1].text if self.messages else ''

    @property
    def key(self) -> str:
        """The last message's ``id=KEY``, else a hash of all messages."""
        marker = _KEY_MARKER.search(self.last_text)
        if marker:
            return marker.group(1)
        digest = hashlib.sha256(msgspec.json.encode(self.messages))
        return digest.hexdigest()[:_KEY_LENGTH]

    @property
    def output_tokens(self) -> int:
        """The number of tokens to generate."""
        marker = _TOKENS_MARKER.search(self.last_text)
        if marker:
            return int(marker.group(1))
        return self._max_output_tokens or _DEFAULT_OUTPUT_TOKENS

    @property
    def finish_reason(self) -> str:
        """The ``finish_reason`` of the completion."""
        return (
            'length'
            if self.output_tokens == self._max_output_tokens
            else 'stop'
        )

    @property
    def _max_output_tokens(self) -> int | None:
        return self.max_completion_tokens or self.max_tokens


def expected_words(key: str, tokens: int) -> Iterator[str]:
    """Yield the generated text word by word.

    :param key: key of the request.
    :param tokens: number of words, one for each token; joined, they are the
        complete text.
    """
    for position in range(tokens):
        space = ' ' if position else ''
        yield f'{space}w{position}-{key}'


def expected_text(key: str, tokens: int) -> str:
    """Return the complete text generated for a request."""
    return ''.join(expected_words(key, tokens))
