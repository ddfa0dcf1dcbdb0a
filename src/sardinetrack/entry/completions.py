"""The chat completion request, as far as the entry reads it."""

from __future__ import annotations

import hashlib
from typing import Annotated, Final

import msgspec
import xxhash

from sardinetrack.errors.api import AnsweredError, ErrorKind

_BYTES_PER_TOKEN: Final = 4
_PREFIX_BYTES: Final = 1024
_MOST_TOKENS: Final = 262_144
_DETAIL_LENGTH: Final = 200
_LONGEST_NAME: Final = 256

_Count = Annotated[int, msgspec.Meta(ge=1, le=_MOST_TOKENS)]


class ChatCompletion(msgspec.Struct, frozen=True):
    """The fields that matter to routing; the rest goes on unread."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=_LONGEST_NAME)]
    messages: Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]
    stream: bool | None = None
    max_tokens: _Count | None = None
    max_completion_tokens: _Count | None = None

    @property
    def most_tokens(self) -> int | None:
        """Bound on generated tokens, ``None`` when the caller set none."""
        return self.max_completion_tokens or self.max_tokens

    @property
    def prompt_tokens(self) -> int:
        """Rough size of the prompt."""
        size_bytes = sum(len(bytes(part)) for part in self.messages)
        return max(1, size_bytes // _BYTES_PER_TOKEN)

    @property
    def affinity(self) -> int:
        """Hash of the prompt's beginning, for prefix caches."""
        start = b''.join(bytes(part) for part in self.messages)
        return xxhash.xxh64_intdigest(start[:_PREFIX_BYTES])


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _WithUsage(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


_FIELDS: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])
_MANNER: Final = frozenset(('stream', 'stream_options'))
_REQUESTS: Final = msgspec.json.Decoder(ChatCompletion)
_ANSWERS: Final = msgspec.json.Decoder(_WithUsage)


def parse_completion(body: bytes) -> ChatCompletion:
    """Read and validate a request.

    :param body: the caller's body.
    :return: what it asks for.
    :raises AnsweredError: it is no valid request.
    """
    try:
        return _REQUESTS.decode(body)
    except msgspec.DecodeError as error:
        detail = str(error)[:_DETAIL_LENGTH]
        raise AnsweredError(ErrorKind.BAD_REQUEST, detail) from error
    except (UnicodeDecodeError, RecursionError) as error:
        raise AnsweredError(ErrorKind.BAD_REQUEST, 'no valid JSON') from error


def essence(body: bytes) -> bytes:
    """Leave out of a request how its answer is to be delivered.

    A request that crashes servers does so streamed or not: told apart, the
    two would take down two servers each.

    :param body: a valid request.
    :return: equal for requests that a backend server works on alike.
    """
    fields = _FIELDS.decode(body)
    kept = {name: fields[name] for name in fields if name not in _MANNER}
    return msgspec.json.encode(kept, order='sorted')


def usage_cost(answer: bytes, prompt_token_cost: float) -> float | None:
    """Read what an answer cost.

    :param answer: a whole answer or the data of its last event.
    :param prompt_token_cost: cost of a prompt token in generated tokens.
    :return: cost units, ``None`` when the answer doesn't tell.
    """
    try:
        usage = _ANSWERS.decode(answer).usage
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if usage is None:
        return None
    return usage.completion_tokens + prompt_token_cost * usage.prompt_tokens


def fingerprint(*parts: bytes) -> str:
    """Hash what a backend server would run; equal for a resend.

    :param parts: pool, method, path and body.
    :return: hex text.
    """
    whole = hashlib.sha256()
    for part in parts:
        whole.update(len(part).to_bytes(8, 'big'))
        whole.update(part)
    return whole.hexdigest()
