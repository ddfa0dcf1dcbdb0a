"""The servers' own entries in the store, decoded once into product types."""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import Annotated, Final, Literal

import msgspec

from sardinetrack.platform.errors import TranslationError
from sardinetrack.topology.servers import BackendServer

SERVERS_PREFIX: Final = 'servers/'
MOST_SLOTS: Final = 65_535
"""More than there are connections to one address; no server has so many."""
_INSTANCE: Final = re.compile('[!-~]{1,200}')
"""It goes into a header: one with a line break would add headers to it."""
_PORT: Final = re.compile('[0-9]{1,5}')
_MOST_PORT: Final = 65_535
_MILLISECONDS: Final = 1000.0


class _Server(msgspec.Struct, rename='camel'):
    """What every server's entry has; another writer's may lack any of it.

    Nothing is filled in: an entry without its state may stand for a server
    that is leaving, one without its service for a server of any pool.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
    state: Literal['ready', 'draining']
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    # Unix milliseconds of the server's start; not all platforms tell it. One
    # that is there but no number is mistyped like any other field.
    born: Annotated[int, msgspec.Meta(ge=0)] | msgspec.UnsetType = msgspec.UNSET


def server_of(instance: str, spec: bytes, revision: int = 0) -> BackendServer:
    """Translate the entry of a backend server.

    :param instance: the name under which it lies.
    :param revision: of the store when it was written; 0 if unknown.
    :raises TranslationError: it is not one.
    """
    if not _INSTANCE.fullmatch(instance):
        raise TranslationError(f'server {instance!r}: not an id')
    try:
        read = msgspec.json.decode(spec, type=_Server)
        ip, port = _endpoint(read.address)
    except (msgspec.DecodeError, ValueError) as error:
        raise TranslationError(f'server {instance!r}: {error}') from error
    return BackendServer(
        instance=instance,
        pool=read.service,
        ip=ip,
        port=port,
        failure_domain=read.zone,
        slots=read.slots,
        leaving=read.state != 'ready',
        started_milliseconds=None if read.born is msgspec.UNSET else read.born,
        revision=revision,
        cold_seconds=read.warmup_left_ms / _MILLISECONDS,
    )


def _endpoint(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(':')
    number = int(port) if _PORT.fullmatch(port) else 0
    if not 0 < number <= _MOST_PORT:
        raise ValueError(f'{address!r} is not IP:PORT')
    return str(IPv4Address(ip)), number
