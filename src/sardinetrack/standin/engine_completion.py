"""Responses of the model engine in the chat completions format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from sardinetrack.standin.engine_prompt import ChatRequest

STREAM_END: Final = b'data: [DONE]\n\n'


@dataclass(frozen=True, slots=True)
class Completion:
    """The response to one chat request.

    :param ordinal: number of the execution under the request's key.
    """

    chat: ChatRequest
    ordinal: int
    prompt_tokens: int
    cached_tokens: int

    def plain_body(self, text: str) -> dict[str, Any]:
        """Return the body of a response that is not streamed."""
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

    def token_event(self, text: str) -> bytes:
        """Return the event of one token."""
        return self._event(choices=[_choice({'content': text})])

    def first_event(self) -> bytes:
        """Return the event that opens a stream."""
        delta = {'role': 'assistant', 'content': ''}
        return self._event(choices=[_choice(delta)])

    def final_events(self) -> bytes:
        """Return the events that end a stream, ``STREAM_END`` included."""
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
            'completion_tokens': self.chat.output_tokens,
            'total_tokens': self.prompt_tokens + self.chat.output_tokens,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


def _choice(
    delta: dict[str, str],
    finish_reason: str | None = None,
) -> dict[str, Any]:
    return {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
