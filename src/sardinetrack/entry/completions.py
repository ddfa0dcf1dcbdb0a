"""The chat completion request, as far as the entry parses it."""

from __future__ import annotations

import hashlib
from typing import Annotated, Final

import msgspec
import xxhash

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError

_BYTES_PER_TOKEN: Final = 4
_PREFIX_BYTES: Final = 1024
_MAX_TOKENS: Final = 262_144
_DETAIL_LENGTH: Final = 200
_MAX_NAME_LENGTH: Final = 256

_Count = Annotated[int, msgspec.Meta(ge=1, le=_MAX_TOKENS)]


class ChatCompletion(msgspec.Struct, frozen=True):
    """The fields that routing uses; others are forwarded without parsing."""

    model: Annotated[
        str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)
    ]
    messages: Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]
    stream: bool | None = None
    max_tokens: _Count | None = None
    max_completion_tokens: _Count | None = None

    @property
    def max_output_tokens(self) -> int | None:
        """Limit on generated tokens, ``None`` when the caller set none."""
        return self.max_completion_tokens or self.max_tokens

    @property
    def prompt_tokens(self) -> int:
        """Approximate size of the prompt, from its bytes."""
        size_bytes = sum(len(bytes(part)) for part in self.messages)
        return max(1, size_bytes // _BYTES_PER_TOKEN)

    @property
    def affinity(self) -> int:
        """Hash of the start of the prompt, for prefix caches."""
        start = b''.join(bytes(part) for part in self.messages)
        return xxhash.xxh64_intdigest(start[:_PREFIX_BYTES])


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _ResponseUsage(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


_FIELDS: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])
_DELIVERY_FIELDS: Final = frozenset(('stream', 'stream_options'))
_REQUESTS: Final = JsonDecoder[ChatCompletion](ChatCompletion)
_RESPONSES: Final = JsonDecoder[_ResponseUsage](_ResponseUsage)


def parse_completion(body: bytes) -> ChatCompletion:
    """Parse and validate a request.

    :param body: the caller's body.
    :return: the parsed request.
    :raises RequestError: the request is invalid.
    """
    try:
        return _REQUESTS.decode(body)
    except UnreadableError as error:
        detail = str(error)[:_DETAIL_LENGTH]
        raise RequestError(ErrorKind.BAD_REQUEST, detail) from error


def canonical_request(body: bytes) -> bytes:
    """Remove the fields that only affect how the response is delivered.

    A request that crashes servers does so streamed or not. If the two forms had
    different fingerprints, each of them could crash two servers.

    :param body: a valid request.
    :return: equal for requests that are the same work for a backend server.
    """
    fields = _FIELDS.decode(body)
    kept = {
        name: fields[name] for name in fields if name not in _DELIVERY_FIELDS
    }
    return msgspec.json.encode(kept, order='sorted')


def usage_cost(response: bytes, prompt_token_cost: float) -> float | None:
    """Compute the cost of a response from its usage.

    :param response: a complete response or the data of its last event.
    :param prompt_token_cost: cost of a prompt token in generated tokens.
    :return: cost units, ``None`` when the response has no usage.
    """
    try:
        usage = _RESPONSES.decode(response).usage
    except UnreadableError:
        return None
    if usage is None:
        return None
    return usage.completion_tokens + prompt_token_cost * usage.prompt_tokens


def fingerprint(*parts: bytes) -> str:
    """Hash what a backend server would run; equal for a resend.

    :param parts: pool, method, path and body.
    :return: hex text.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
