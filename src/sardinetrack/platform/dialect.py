"""The headers of the platform's callers and backend servers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.placement.prompt import Prompt, PromptPart
from sardinetrack.relay.api import (
    Call,
    Dialect,
    Headers,
    ReplyHead,
    Sending,
)

READY_PATH: Final = b'/v1/readyz'
_MILLISECONDS: Final = 1000.0
_TEXT: Final = 'latin-1'
_REQUEST_ID: Final = b'x-sardinetrack-request-id'
_STAMP: Final = b'x-sardinetrack-server-stamp'
_LOAD: Final = b'x-sardinetrack-server-load'
_NOT_RUN: Final = b'x-sardinetrack-not-processed'
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    ),
)
# Ours to set; as a caller sends them they would pin memory, reserve places
# or let a request go on from the memory of another one.
_OURS: Final = frozenset(
    (
        b'x-sardinetrack-hold',
        b'x-sardinetrack-pin-ms',
        b'x-sardinetrack-kv-backup',
        b'x-sardinetrack-tenant',
        b'x-sardinetrack-expect-instance',
        b'x-sardinetrack-expect-version',
        b'x-sardinetrack-deadline-ms',
        b'kv-from',
        b'kv-fetch',
        b'wait-ms',
        b'last-event-id',
        b'authorization',
        b'expect',
        b'host',
    ),
)
_DROPPED: Final = _HOP_BY_HOP | _OURS
_NOT_CALLERS: Final = _HOP_BY_HOP | {_LOAD}


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def call(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        now: float,
    ) -> Call:
        """Read the head of a request."""
        fields = dict(headers)
        host = _one(headers, b'host').decode(_TEXT).lower()
        path = target.partition(b'?')[0].decode(_TEXT)
        if not path.startswith('/'):
            raise AnsweredError(ErrorKind.BAD_REQUEST, 'the path is no path')
        return Call(
            request_id=fields.get(_REQUEST_ID, b'').decode(_TEXT),
            method=method,
            target=target,
            host=host,
            path=path,
            forwarded=_lines(headers, _DROPPED),
            body=b'',
            arrived_seconds=now,
            patience_seconds=_seconds(
                fields.get(b'x-sardinetrack-deadline-ms'),
            ),
            api_key=_bearer(fields.get(b'authorization', b'')),
            prompt=_prompt(fields),
            after_event=_integer(fields.get(b'last-event-id')),
        )

    def request(self, call: Call, sending: Sending) -> bytes:
        """Write the request as a server gets it."""
        patience = max(1, int(sending.patience_seconds * _MILLISECONDS))
        lines = [
            b'%b %b HTTP/1.1\r\nhost: %b\r\n'
            % (call.method, call.target, call.host.encode(_TEXT)),
            call.forwarded,
            b'x-sardinetrack-deadline-ms: %d\r\n' % patience,
            b'x-sardinetrack-expect-instance: %b\r\n'
            % sending.server.instance.encode(),
        ]
        if sending.workspace is not None:
            workspace = sending.workspace.encode()
            lines.append(b'x-sardinetrack-tenant: %b\r\n' % workspace)
        if sending.after_event is not None:
            lines.append(b'last-event-id: %d\r\n' % sending.after_event)
        if call.body or call.method not in {b'GET', b'HEAD', b'DELETE'}:
            lines.append(b'content-length: %d\r\n' % len(call.body))
        lines.extend((b'\r\n', call.body))
        return b''.join(lines)

    def reply(self, status: int, headers: Headers) -> ReplyHead:
        """Read the head of a server's answer."""
        fields = dict(headers)
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        encoded = b'content-encoding' in fields
        return ReplyHead(
            status=status,
            forwarded=_lines(headers, _NOT_CALLERS),
            request_id=fields.get(_REQUEST_ID, b'').decode(_TEXT),
            not_run=misdirected or _NOT_RUN in fields,
            genuine=_STAMP in fields and not encoded,
            running=_running(fields.get(_LOAD)),
            idle_seconds=_idle(fields.get(b'keep-alive', b'')),
            misdirected=misdirected,
        )

    def identity(self, call: Call) -> bytes:
        """Write the request's id."""
        name = call.request_id.encode(_TEXT)
        return b'%b: %b\r\n' % (_REQUEST_ID, name)


def _one(headers: Headers, wanted: bytes) -> bytes:
    found = [content for name, content in headers if name == wanted]
    if len(found) != 1:
        raise AnsweredError(
            ErrorKind.BAD_REQUEST,
            f'{wanted.decode()} must be given once',
        )
    return found[0]


def _lines(headers: Headers, dropped: frozenset[bytes]) -> bytes:
    return b''.join(
        b'%b: %b\r\n' % line for line in headers if line[0] not in dropped
    )


def _bearer(authorization: bytes) -> str | None:
    scheme, _, key = authorization.partition(b' ')
    if scheme.lower() != b'bearer':
        return None
    return key.strip().decode(_TEXT)


def _seconds(content: bytes | None) -> float | None:
    try:
        return float(content) / _MILLISECONDS if content else None
    except ValueError:
        return None


def _integer(content: bytes | None) -> int | None:
    try:
        return int(content) if content else None
    except ValueError:
        return None


def _prompt(fields: dict[bytes, bytes]) -> Prompt:
    counts = fields.get(b'x-sardinetrack-token-count', b'').split(b',')
    if len(counts) != 2:
        return Prompt()
    tokens = _integer(counts[0]) or 0
    most_tokens = _integer(counts[1]) or 0
    hint = _integer(fields.get(b'x-sardinetrack-length-hint'))
    answer_tokens = most_tokens
    if hint is not None:
        answer_tokens = min(hint, most_tokens or hint)
    prefix = fields.get(b'x-sardinetrack-prefix-hash', b'')
    return Prompt(
        _parts(prefix),
        tokens,
        answer_tokens,
        most_tokens,
        is_estimated=hint is not None,
    )


def _parts(prefix: bytes) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for word in prefix.split(b','):
        part_id, colon, tokens = word.strip().partition(b':')
        if colon:
            name = part_id.decode(_TEXT)
            parts.append(PromptPart(name, _integer(tokens) or 0))
    return tuple(parts)


def _running(content: bytes | None) -> int:
    """Read running and waiting requests; the third number is the slots."""
    counts = [_integer(count) for count in (content or b'').split(b',')]
    if len(counts) < 2:
        return -1
    return (counts[0] or 0) + (counts[1] or 0)


def _idle(keep_alive: bytes) -> float | None:
    for word in keep_alive.split(b','):
        name, _, content = word.strip().partition(b'=')
        if name.lower() == b'timeout':
            seconds = _integer(content)
            return None if seconds is None else float(seconds)
    return None
