"""Decodes the backend servers' own objects in the store."""

from __future__ import annotations

import re
from typing import Annotated, Final, Literal

import msgspec

from sardinetrack.messages.json_input import JsonDecoder
from sardinetrack.platform.addresses import parse_endpoint
from sardinetrack.platform.counts import (
    Count,
    Sequence,
    WarmupMilliseconds,
)
from sardinetrack.platform.errors import TranslationError
from sardinetrack.topology.servers import BackendServer

SERVERS_PREFIX: Final = 'servers/'
MAX_SLOTS: Final = 65_535
"""More than the connections to one address; no server has as many slots."""
_INSTANCE_ID: Final = re.compile('[!-~]{1,200}')
"""The id is sent in a header; one with a line break would add headers."""
_MILLISECONDS: Final = 1000.0


class _Server(msgspec.Struct, rename='camel'):
    """Fields of every server's object; other writers may leave any of them out.

    Missing fields get no default: an object without a state may belong to a
    server that is draining, one without a service to a server of any pool.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal['ready', 'draining']
    warmup_left_ms: WarmupMilliseconds
    sequence: Sequence
    # Unix milliseconds of the server's start; not all platforms send it. A
    # value that is present but no number is an error, as in any other field.
    born: Count | msgspec.UnsetType = msgspec.UNSET


_SERVERS: Final = JsonDecoder[_Server](_Server)


def decode_server(
    instance: str, spec: bytes, revision: int = 0
) -> BackendServer:
    """Decode the object of a backend server.

    :param instance: the object's name.
    :param revision: revision of the store when it was written; 0 if unknown.
    :raises TranslationError: the object is not a valid server.
    """
    if not _INSTANCE_ID.fullmatch(instance):
        raise TranslationError(f'server {instance!r}: invalid instance id')
    try:
        decoded = _SERVERS.decode(spec)
        ip, port = parse_endpoint(decoded.address)
    except ValueError as error:
        raise TranslationError(f'server {instance!r}: {error}') from error
    return BackendServer(
        instance=instance,
        pool=decoded.service,
        ip=ip,
        port=port,
        failure_domain=decoded.zone,
        slots=decoded.slots,
        leaving=decoded.state != 'ready',
        started_milliseconds=None
        if decoded.born is msgspec.UNSET
        else decoded.born,
        revision=revision,
        cold_seconds=decoded.warmup_left_ms / _MILLISECONDS,
        version=decoded.version,
    )
