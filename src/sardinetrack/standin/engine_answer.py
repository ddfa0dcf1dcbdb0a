"""Answers of the model engine in the shape that its clients know."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from sardinetrack.standin.engine_prompt import ChatRequest

STREAM_END: Final = b'data: [DONE]\n\n'


@dataclass(frozen=True, slots=True)
class Completion:
    """One answer."""

    chat: ChatRequest
    ordinal: int
    prompt_tokens: int
    cached_tokens: int

    def whole(self, text: str) -> dict[str, Any]:
        """Shape a plain answer."""
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': self.chat.finish_reason,
        }
        return {
            **self._head('chat.completion'),
            'choices': [choice],
            'usage': self._usage(),
        }

    def word(self, text: str) -> bytes:
        """Shape one token of a stream."""
        return self._event(choices=[_choice({'content': text})])

    def first(self) -> bytes:
        """Shape the opening event of a stream."""
        delta = {'role': 'assistant', 'content': ''}
        return self._event(choices=[_choice(delta)])

    def last(self) -> bytes:
        """Shape the events that end a stream, the terminal included."""
        reason = self.chat.finish_reason
        finish = self._event(choices=[_choice({}, reason)])
        usage = self._event(choices=[], usage=self._usage())
        return finish + usage + STREAM_END

    def _event(self, **fields: Any) -> bytes:
        content = {**self._head('chat.completion.chunk'), **fields}
        return b'data: %b\n\n' % msgspec.json.encode(content)

    def _head(self, kind: str) -> dict[str, Any]:
        key = self.chat.key
        return {
            'id': f'chatcmpl-{key}-{self.ordinal}',
            'object': kind,
            'created': 0,
            'model': self.chat.model,
        }

    def _usage(self) -> dict[str, Any]:
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.chat.tokens,
            'total_tokens': self.prompt_tokens + self.chat.tokens,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


def _choice(
    delta: dict[str, str],
    finish_reason: str | None = None,
) -> dict[str, Any]:
    return {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
