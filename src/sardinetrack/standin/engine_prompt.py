"""What a chat request asks of the stand-in, and the answer that is due."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterator
from typing import Final

import msgspec

_DEFAULT_TOKENS: Final = 16
_KEY_LENGTH: Final = 16
_KEY: Final = re.compile(r'\bid=([\w.-]+)')
_TOKENS: Final = re.compile(r'\btokens=(\d+)')


class _Part(msgspec.Struct):
    text: str = ''


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str | list[_Part] | None = None

    @property
    def text(self) -> str:
        """The text of all its parts."""
        if isinstance(self.content, list):
            return ' '.join(part.text for part in self.content)
        return self.content or ''


class ChatRequest(msgspec.Struct):
    """The body of a chat completion, as far as the stand-in reads it."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def text(self) -> str:
        """The whole prompt."""
        return ' '.join(message.text for message in self.messages)

    @property
    def last_text(self) -> str:
        """The text of the last message, where the markers stand."""
        return self.messages[-1].text if self.messages else ''

    @property
    def key(self) -> str:
        """The last message's ``id=KEY``, else a hash of all messages."""
        marker = _KEY.search(self.last_text)
        if marker:
            return marker.group(1)
        digest = hashlib.sha256(msgspec.json.encode(self.messages))
        return digest.hexdigest()[:_KEY_LENGTH]

    @property
    def tokens(self) -> int:
        """How many tokens the answer has."""
        marker = _TOKENS.search(self.last_text)
        if marker:
            return int(marker.group(1))
        return self._limit or _DEFAULT_TOKENS

    @property
    def finish_reason(self) -> str:
        """Why the answer ends where it does."""
        return 'length' if self.tokens == self._limit else 'stop'

    @property
    def _limit(self) -> int | None:
        return self.max_completion_tokens or self.max_tokens


def answer_words(key: str, tokens: int) -> Iterator[str]:
    """Yield the answer that is due, word by word.

    :param key: of the request.
    :param tokens: one word each; joined, they are the whole answer.
    """
    for position in range(tokens):
        space = ' ' if position else ''
        yield f'{space}w{position}-{key}'


def answer_text(key: str, tokens: int) -> str:
    """The whole answer that is due."""
    return ''.join(answer_words(key, tokens))
