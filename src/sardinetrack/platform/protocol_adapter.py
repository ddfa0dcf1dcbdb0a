"""Translates the HTTP headers of the platform's callers and backend servers."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import Final

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.platform import kv_transfer
from sardinetrack.platform.engine_report import decode_report
from sardinetrack.platform.errors import TranslationError
from sardinetrack.platform.prompt_headers import (
    bounded_id,
    parse_integer,
    parse_prompt,
)
from sardinetrack.relay.api import (
    AttemptContext,
    CallerRequest,
    Headers,
    KvMoveReply,
    KvSource,
    ProtocolAdapter,
    ResponseHead,
    ServerReport,
)
from sardinetrack.relay.events import parse_number
from sardinetrack.topology.servers import BackendServer

READY_PATH: Final = b'/v1/readyz'
_MILLISECONDS: Final = 1000.0
_ENCODING: Final = 'latin-1'
_SLOWNESS_INDEX: Final = 3
_PERCENT: Final = 100.0
_REQUEST_ID: Final = b'x-sardinetrack-request-id'
_SERVER_STAMP: Final = b'x-sardinetrack-server-stamp'
_SERVER_LOAD: Final = b'x-sardinetrack-server-load'
_INSTANCE_ID: Final = b'x-sardinetrack-instance-id'
_SERVER_LEAVING: Final = b'server-leaving'
_NOT_PROCESSED: Final = b'x-sardinetrack-not-processed'
_STATUS_LINE: Final = re.compile(rb'HTTP/1\.\d \d{3} [^\r\n]*\r\n')
_TURNED_AWAY: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)
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
# Only the router sets these. If they were accepted from a caller, they would
# pin KV cache memory, reserve slots or continue a request from the KV cache of
# another one.
_ROUTER_ONLY: Final = frozenset(
    (
        b'x-sardinetrack-hold',
        b'x-sardinetrack-pin-ms',
        b'x-sardinetrack-kv-backup',
        b'x-sardinetrack-tenant',
        b'x-sardinetrack-expect-instance',
        b'x-sardinetrack-expect-version',
        b'x-sardinetrack-deadline-ms',
        kv_transfer.KV_FROM,
        b'kv-fetch',
        b'wait-ms',
        b'last-event-id',
        b'authorization',
        b'expect',
        b'host',
    ),
)
_READ_FROM_REQUESTS: Final = frozenset(
    (
        _REQUEST_ID,
        b'x-sardinetrack-deadline-ms',
        b'x-sardinetrack-token-count',
        b'x-sardinetrack-length-hint',
        b'x-sardinetrack-prefix-hash',
        b'authorization',
        b'host',
        b'last-event-id',
        b'resumes',
    ),
)
_DROPPED_FROM_REQUESTS: Final = _HOP_BY_HOP | _ROUTER_ONLY
_DROPPED_FROM_RESPONSES: Final = _HOP_BY_HOP | {_SERVER_LOAD, _SERVER_LEAVING}


class PlatformProtocolAdapter(ProtocolAdapter):
    """Parses and encodes the platform's headers."""

    def parse_request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        now: float,
    ) -> CallerRequest:
        """Parse the head of a caller's request."""
        fields, forwarded = _split_head(headers)
        host = fields[b'host'].decode(_ENCODING).lower()
        path = target.partition(b'?')[0].decode(_ENCODING)
        if not path.startswith('/'):
            raise RequestError(
                ErrorKind.BAD_REQUEST, 'the request path must start with /'
            )
        sent_id = fields.get(_REQUEST_ID, b'').decode(_ENCODING)
        request_id = bounded_id(sent_id)
        read_bytes = sum(map(len, fields.values()))
        return CallerRequest(
            request_id=request_id,
            long_id=None if request_id == sent_id else sent_id,
            method=method,
            target=target,
            host=host,
            path=path,
            forwarded=forwarded,
            head_bytes=2 * (len(forwarded) + len(target) + read_bytes),
            body=b'',
            arrived_seconds=now,
            max_wait_seconds=_parse_seconds(
                fields.get(b'x-sardinetrack-deadline-ms'),
            ),
            api_key=_bearer_token(fields.get(b'authorization', b'')),
            prompt=parse_prompt(fields),
            last_event_id=_parse_last_event(fields.get(b'last-event-id')),
            resumes=bounded_id(fields.get(b'resumes', b'').decode(_ENCODING))
            or None,
        )

    def encode_request(
        self, call: CallerRequest, sending: AttemptContext
    ) -> bytes:
        """Encode the head as the backend server receives it."""
        max_wait_milliseconds = max(
            1, int(sending.max_wait_seconds * _MILLISECONDS)
        )
        lines = [
            b'%b %b HTTP/1.1\r\nhost: %b\r\n'
            % (call.method, call.target, call.host.encode(_ENCODING)),
            call.forwarded,
            b'x-sardinetrack-deadline-ms: %d\r\n' % max_wait_milliseconds,
            b'x-sardinetrack-expect-instance: %b\r\n'
            % sending.server.instance.encode(),
        ]
        if sending.workspace is not None:
            workspace = sending.workspace.encode()
            lines.append(b'x-sardinetrack-tenant: %b\r\n' % workspace)
        if sending.last_event_id is not None:
            lines.append(b'last-event-id: %d\r\n' % sending.last_event_id)
        if sending.kv_source is not None:
            lines.append(kv_transfer.encode_kv_source(sending.kv_source))
        if call.body or call.method not in {b'GET', b'HEAD', b'DELETE'}:
            lines.append(b'content-length: %d\r\n' % len(call.body))
        lines.append(b'\r\n')
        return b''.join(lines)

    def encode_kv_move(
        self,
        request_id: str,
        source: BackendServer,
        destination: BackendServer,
        *,
        last: bool,
    ) -> bytes:
        """Encode a call that copies the KV cache of a running request."""
        return kv_transfer.encode_kv_move(
            request_id, source, destination, last=last
        )

    def parse_kv_move(self, status: int, body: bytes) -> KvMoveReply:
        """Parse the response to such a call."""
        return kv_transfer.parse_kv_move(status, body)

    def encode_kv_release(self, copy: KvSource) -> bytes:
        """Encode a call that frees a copy."""
        return kv_transfer.encode_kv_release(copy)

    def encode_report_call(self, server: BackendServer) -> bytes:
        """Encode a call for a server's report."""
        return kv_transfer.encode_report_call(server)

    def encode_health_call(self, server: BackendServer, path: str) -> bytes:
        """Encode a call for a server's health."""
        return kv_transfer.encode_health_call(server, path)

    def parse_instance(self, headers: Headers) -> str | None:
        """Parse the id of the server that responds."""
        instance = dict(headers).get(_INSTANCE_ID)
        return None if instance is None else instance.decode(_ENCODING)

    def parse_report(self, status: int, body: bytes) -> ServerReport | None:
        """Parse the report of a server."""
        if status != HTTPStatus.OK:
            return None
        try:
            report = decode_report(body)
        except TranslationError:
            return None
        return ServerReport(
            report.started_milliseconds,
            report.leaves_seconds,
            events={run.request_id: run.events for run in report.runs},
        )

    def parse_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Parse the head of a backend server's response."""
        fields = dict(headers)
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        encoded = b'content-encoding' in fields
        return ResponseHead(
            status=status,
            forwarded=_header_lines(headers, _DROPPED_FROM_RESPONSES),
            request_id=fields.get(_REQUEST_ID, b'').decode(_ENCODING),
            not_run=misdirected or _NOT_PROCESSED in fields,
            is_signed=_SERVER_STAMP in fields and not encoded,
            running=_parse_load(fields.get(_SERVER_LOAD)),
            idle_seconds=_parse_idle_timeout(fields.get(b'keep-alive', b'')),
            misdirected=misdirected,
            leaving=fields.get(_SERVER_LEAVING) == b'1' and not misdirected,
            rest_seconds=_parse_rest(status, fields.get(b'retry-after')),
            slowness=_parse_slowness(fields.get(_SERVER_LOAD, b'')),
        )

    def contains_response(self, body: bytes) -> bool:
        """Find a status line with the request id header below it."""
        if b'HTTP/1.' not in body:
            return False
        begin = _STATUS_LINE.search(body)
        return begin is not None and _REQUEST_ID in body[begin.end() :].lower()

    def own_headers(self, call: CallerRequest) -> bytes:
        """Encode the header line with the request id."""
        encoded_id = call.sent_id.encode(_ENCODING)
        return b'%b: %b\r\n' % (_REQUEST_ID, encoded_id)


def _split_head(headers: Headers) -> tuple[dict[bytes, bytes], bytes]:
    """Return the fields that are read here, and the lines to forward.

    :raises RequestError: the host is not given exactly once.
    """
    fields: dict[bytes, bytes] = {}
    forwarded = bytearray()
    hosts = 0
    for name, content in headers:
        hosts += name == b'host'
        if name in _READ_FROM_REQUESTS:
            fields[name] = content
        if name not in _DROPPED_FROM_REQUESTS:
            forwarded += b'%b: %b\r\n' % (name, content)
    if hosts != 1:
        raise RequestError(
            ErrorKind.BAD_REQUEST, 'header host must occur exactly once'
        )
    return fields, bytes(forwarded)


def _header_lines(headers: Headers, dropped: frozenset[bytes]) -> bytes:
    return b''.join(
        b'%b: %b\r\n' % line for line in headers if line[0] not in dropped
    )


def _bearer_token(authorization: bytes) -> str | None:
    scheme, _, key = authorization.partition(b' ')
    if scheme.lower() != b'bearer':
        return None
    return key.strip().decode(_ENCODING)


def _parse_seconds(content: bytes | None) -> float | None:
    try:
        return float(content) / _MILLISECONDS if content else None
    except ValueError:
        return None


def _parse_last_event(content: bytes | None) -> int | None:
    """Parse the number of the last event that a caller has.

    :raises RequestError: it is no number. A run from the start would repeat
        the events that the caller has.
    """
    if not content:
        return None
    number = parse_number(content)
    if number is None:
        raise RequestError(
            ErrorKind.BAD_REQUEST, 'last-event-id must be a number'
        )
    return number


def _parse_load(content: bytes | None) -> int:
    """Add running and waiting requests; the third number is the slots."""
    counts = [parse_integer(count) for count in (content or b'').split(b',')]
    if len(counts) < 2:
        return -1
    return (counts[0] or 0) + (counts[1] or 0)


def _parse_slowness(content: bytes) -> float:
    """Convert the fourth number, a percentage; 1 if there is no valid one."""
    figures = content.split(b',')
    if len(figures) <= _SLOWNESS_INDEX:
        return 1
    try:
        percent = float(figures[_SLOWNESS_INDEX])
    except ValueError:
        return 1
    return percent / _PERCENT if 0 < percent < math.inf else 1


def _parse_rest(status: int, content: bytes | None) -> float | None:
    """Return the seconds of a refusal; a date depends on two clocks."""
    if status not in _TURNED_AWAY or content is None:
        return None
    try:
        seconds = float(content)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def _parse_idle_timeout(keep_alive: bytes) -> float | None:
    for item in keep_alive.split(b','):
        name, _, content = item.strip().partition(b'=')
        if name.lower() == b'timeout':
            seconds = parse_integer(content)
            return None if seconds is None else float(seconds)
    return None
