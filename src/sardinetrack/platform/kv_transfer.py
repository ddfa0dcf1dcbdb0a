"""The platform's calls to engines: reports, and moves of a KV cache."""

from __future__ import annotations

import re
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.platform.engine_report import REPORT_PATH
from sardinetrack.relay.api import KvMoveReply, KvMoveResult, KvSource
from sardinetrack.topology.servers import BackendServer

KV_FROM: Final = b'kv-from'
_HANDLE: Final = re.compile('[A-Za-z0-9._~-]{1,200}')
"""A handle is sent in a path and in a header; one with a line break would add
headers."""
_RESULTS: Final[Mapping[int, KvMoveResult]] = MappingProxyType(
    {
        HTTPStatus.OK: KvMoveResult.COPIED,
        HTTPStatus.NOT_FOUND: KvMoveResult.NO_RUN,
        HTTPStatus.CONFLICT: KvMoveResult.BUSY,
        HTTPStatus.SERVICE_UNAVAILABLE: KvMoveResult.NO_ROOM,
    },
)
_NEEDS_HANDLE: Final = frozenset((KvMoveResult.COPIED, KvMoveResult.NO_ROOM))


class _Moved(msgspec.Struct, rename='camel'):
    kv_handle: str | None = None


_MOVED: Final = JsonDecoder[_Moved](_Moved)


def encode_kv_move(
    request_id: str,
    source: BackendServer,
    destination: BackendServer,
    *,
    last: bool,
) -> bytes:
    """Encode the call that copies the KV cache of a running request."""
    order: dict[str, object] = {
        'id': request_id,
        'to': f'{destination.ip}:{destination.port}',
    }
    if last:
        order['last'] = True
    body = msgspec.json.encode(order)
    head = _head(b'POST', '/v1/kv-move', source)
    return (
        b'%bcontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b'
        % (
            head,
            len(body),
            body,
        )
    )


def encode_kv_release(copy: KvSource) -> bytes:
    """Encode the call that frees a copy at both ends."""
    head = _head(b'DELETE', f'/v1/kv-handle/{copy.handle}', copy.server)
    return b'%b\r\n' % head


def encode_report_call(server: BackendServer) -> bytes:
    """Encode a call for a server's report."""
    return b'%b\r\n' % _head(b'GET', REPORT_PATH, server)


def encode_health_call(server: BackendServer, path: str) -> bytes:
    """Encode a call for a server's health."""
    return b'%b\r\n' % _head(b'GET', path, server)


def encode_kv_source(copy: KvSource) -> bytes:
    """Encode the header line of a request that continues from a copy."""
    server = copy.server
    origin = f'{server.ip}:{server.port}/{copy.handle}'
    return b'%b: %b\r\n' % (KV_FROM, origin.encode())


def parse_kv_move(status: int, body: bytes) -> KvMoveReply:
    """Parse the response to a call that copies.

    Without a readable handle a copy can't be used, so the call has failed.
    """
    handle = _parse_handle(body)
    found = _RESULTS.get(status, KvMoveResult.FAILED)
    if found in _NEEDS_HANDLE and handle is None:
        found = KvMoveResult.FAILED
    return KvMoveReply(found, handle, f'status {status}')


def _parse_handle(body: bytes) -> str | None:
    try:
        handle = _MOVED.decode(body).kv_handle
    except UnreadableError:
        return None
    if handle is None or not _HANDLE.fullmatch(handle):
        return None
    return handle


def _head(method: bytes, path: str, server: BackendServer) -> bytes:
    """Encode the head; another server at the address refuses it with 421."""
    return (
        b'%b %b HTTP/1.1\r\nhost: %b\r\nx-sardinetrack-expect-instance: %b\r\n'
    ) % (
        method,
        path.encode(),
        f'{server.ip}:{server.port}'.encode(),
        server.instance.encode(),
    )
