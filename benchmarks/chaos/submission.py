"""Requests of the run, and the responses expected for them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256
from random import Random
from typing import Any, Final

from sardinetrack.standin.engine_prompt import expected_text
from sardinetrack.standin.service import KEY_HEADER

MODEL: Final = 'ice-llm'
SERVICE: Final = 'chart-api'
WORKSPACES: Final = ('pilot', 'agent', 'fleet')
_MAX_TOKENS: Final = 6
_TOKEN_SECONDS: Final = 0.04
_MAX_COPIES: Final = 3
_CHAT_PATH: Final = '/v1/chat/completions'
_DONE: Final = '[DONE]'

Headers = list[tuple[str, str]]


class Kind(StrEnum):
    """The kind of a request."""

    PLAIN = 'plain'
    STREAM = 'stream'
    LOOKUP = 'lookup'
    ORDER = 'order'
    KEYED_ORDER = 'keyed order'
    KEYED_PLAIN = 'keyed plain'


_CHATS: Final = frozenset((Kind.PLAIN, Kind.STREAM, Kind.KEYED_PLAIN))
_KEYED: Final = frozenset((Kind.KEYED_ORDER, Kind.KEYED_PLAIN))
_REPEATABLE_WEIGHTS: Final = (
    (Kind.PLAIN, 25),
    (Kind.STREAM, 25),
    (Kind.LOOKUP, 20),
)
_AT_MOST_ONCE_WEIGHTS: Final = (
    (Kind.ORDER, 10),
    (Kind.KEYED_ORDER, 12),
    (Kind.KEYED_PLAIN, 8),
)


def token_of(workspace: str) -> str:
    """Return the bearer token of a workspace."""
    return f'{workspace}-token'


@dataclass(frozen=True, slots=True)
class Submission:
    """One submission of a request; copies of a keyed request share a group."""

    group: str
    copy: int
    kind: Kind
    workspace: str
    tokens: int

    @property
    def name(self) -> str:
        """The name of the submission in notes."""
        return f'{self.group}.{self.copy}'

    @property
    def is_chat(self) -> bool:
        """Whether a model engine runs it."""
        return self.kind in _CHATS

    @property
    def at_most_once(self) -> bool:
        """Whether it must not run twice."""
        return self.kind in _KEYED or self.kind is Kind.ORDER

    @property
    def execution_key(self) -> str:
        """The key under which the stand-ins count it.

        A service counts each copy separately; an engine reads the key in the
        body, which all copies share.
        """
        return self.group if self.is_chat else self.name

    @property
    def method(self) -> str:
        """The HTTP method."""
        return 'GET' if self.kind is Kind.LOOKUP else 'POST'

    @property
    def path(self) -> str:
        """Path and query at the entry."""
        if self.is_chat:
            return _CHAT_PATH
        return f'/services/{SERVICE}{self.service_path}'

    @property
    def service_path(self) -> str:
        """Path and query at the service."""
        segment = 'lookup' if self.kind is Kind.LOOKUP else 'orders'
        seconds = self.tokens * _TOKEN_SECONDS
        return f'/{segment}/{self.group}?delay_seconds={seconds:.2f}'

    @property
    def headers(self) -> Headers:
        """The caller's headers."""
        pairs = [('authorization', f'Bearer {token_of(self.workspace)}')]
        if self.kind in _KEYED:
            pairs.append(('idempotency-key', self.group))
        if not self.is_chat:
            pairs.append((KEY_HEADER, self.execution_key))
        return pairs

    @property
    def body(self) -> bytes:
        """The caller's body, the same for each copy."""
        if self.kind is Kind.LOOKUP:
            return b''
        if not self.is_chat:
            return self.group.encode()
        text = f'draft a bulletin id={self.group} tokens={self.tokens}'
        content: dict[str, Any] = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': text}],
        }
        if self.kind is Kind.STREAM:
            content['stream'] = True
        return json.dumps(content).encode()

    def is_expected_body(self, body: bytes) -> bool:
        """Return whether a complete body is exactly the expected one."""
        try:
            return self._matches(body)
        except (ValueError, LookupError, TypeError):
            return False

    def _matches(self, body: bytes) -> bool:
        expected = expected_text(self.group, self.tokens)
        if self.kind is Kind.STREAM:
            return streamed_text(body) == expected
        found = json.loads(body)
        if self.is_chat:
            return bool(found['choices'][0]['message']['content'] == expected)
        digest = sha256(self.body).hexdigest()
        return bool(
            found['target'] == self.service_path
            and found['key'] == self.execution_key
            and found['method'] == self.method
            and found['body_sha256'] == digest,
        )


def streamed_text(body: bytes) -> str | None:
    """Return the text of a stream, ``None`` if the stream is incomplete."""
    events = [
        block.removeprefix('data: ')
        for block in body.decode().split('\n\n')
        if block
    ]
    if not events or events[-1] != _DONE:
        return None
    choices = [
        choice
        for event in events[:-1]
        for choice in json.loads(event).get('choices', [])
    ]
    return ''.join(choice['delta'].get('content') or '' for choice in choices)


def draw_submissions(random: Random, number: int) -> list[Submission]:
    """Draw a request and the copies that its caller will send."""
    weighted_kinds = (*_REPEATABLE_WEIGHTS, *_AT_MOST_ONCE_WEIGHTS)
    kinds = [kind for kind, _ in weighted_kinds]
    weights = [weight for _, weight in weighted_kinds]
    kind = random.choices(kinds, weights)[0]
    workspace = random.choice(WORKSPACES)
    tokens = random.randint(1, _MAX_TOKENS)
    copies = random.randint(1, _MAX_COPIES) if kind in _KEYED else 1
    return [
        Submission(f'r{number}', copy, kind, workspace, tokens)
        for copy in range(copies)
    ]
