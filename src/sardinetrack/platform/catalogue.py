"""Decodes the operator's objects in the store into sardinetrack's types."""

from __future__ import annotations

import re
from dataclasses import replace
from types import MappingProxyType
from typing import Final, Literal

import msgspec

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.platform.errors import TranslationError
from sardinetrack.topology.configuration import (
    CallerLimits,
    Configuration,
    Pool,
    Route,
    RouteKind,
    WeightedPool,
    Workspace,
)

CONFIGURATION_PREFIX: Final = 'config/'
CONFIGURATION_KEY: Final = 'config/main'
EVACUATIONS_PREFIX: Final = 'evacuations/'
"""Holds one object for each zone that is evacuated, named after the zone."""
_MILLISECONDS: Final = 1000.0
_PATH: Final = re.compile('/[!-~]*')
"""It is sent in a request line; one with a line break would add headers."""
_ROUTE_KINDS: Final = MappingProxyType(
    {
        'streaming': RouteKind.STREAMING,
        'idempotent': RouteKind.IDEMPOTENT,
        'non_idempotent': RouteKind.NON_IDEMPOTENT,
    },
)


class _CamelCase(msgspec.Struct, rename='camel'):
    """Base of the messages whose field names are in camel case on the wire."""


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(_CamelCase):
    name: str
    host: str
    path_prefix: str
    type: Literal['streaming', 'idempotent', 'non_idempotent']
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 0
    service: str = ''
    weighted_services: list[_WeightedService] = []
    # Maximum number of engines that one attempt of a client may be sent to,
    # including the first.
    max_attempts: int = 1
    anonymous: bool = False
    # Whether requests carry the blocks of their prompts; no session is pinned.
    session_affinity: bool = False
    stream_resume: bool = False
    target_gap_ms: float = 0


class _Engine(_CamelCase):
    slots: int
    kv_capacity: int
    # Whether a stream can continue at another engine from a copy of its KV
    # cache, and how long a copy is kept after its last use.
    moves: bool = False
    handle_ttl_s: float = 5


class _Service(_CamelCase):
    name: str
    health_path: str = ''
    max_connections: int = 64
    engine: _Engine | None = None
    warmup_s: float = 0
    warmup_per_s: float = 0


class _Limits(_CamelCase):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000
    tokens_per_s: float = 0


class _Tenant(_CamelCase):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(_CamelCase):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Where there are none, requests need no key; an empty list is a list.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


_CONFIGURATIONS: Final = JsonDecoder[_Config](_Config, strict=False)


def decode_configuration(spec: bytes) -> Configuration:
    """Decode the operator's configuration.

    :raises TranslationError: the object is not a valid configuration.
    """
    try:
        decoded = _CONFIGURATIONS.decode(spec)
    except UnreadableError as error:
        raise TranslationError(f'configuration: {error}') from error
    return Configuration(
        version=decoded.version,
        routes=_routes_by_host(decoded.routes),
        pools={service.name: _pool(service) for service in decoded.services},
        workspaces=_workspaces_by_key(decoded.tenants),
        limits=_limits(decoded.limits),
    )


def _workspaces_by_key(
    tenants: list[_Tenant] | msgspec.UnsetType,
) -> dict[str, Workspace] | None:
    if tenants is msgspec.UNSET:
        return None
    return {
        key: Workspace(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }


def _routes_by_host(decoded: list[_Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in decoded:
        by_host.setdefault(route.host.lower(), []).append(_route(route))
    return {
        host: tuple(
            sorted(routes, key=_prefix_length, reverse=True),
        )
        for host, routes in by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def _route(decoded: _Route) -> Route:
    weighted = decoded.weighted_services or [
        _WeightedService(decoded.service, 1)
    ]
    return Route(
        name=decoded.name,
        host=decoded.host.lower(),
        path_prefix=decoded.path_prefix,
        kind=_ROUTE_KINDS[decoded.type],
        pools=tuple(
            WeightedPool(target.service, target.weight) for target in weighted
        ),
        max_servers=max(1, decoded.max_attempts),
        timeout_seconds=decoded.timeout_ms / _MILLISECONDS,
        first_event_objective_seconds=decoded.target_latency_ms / _MILLISECONDS,
        event_gap_seconds=decoded.target_gap_ms / _MILLISECONDS,
        priority=decoded.priority,
        anonymous=decoded.anonymous,
        resumable=decoded.stream_resume,
        by_prompt=decoded.session_affinity,
    )


def _pool(decoded: _Service) -> Pool:
    pool = Pool(
        decoded.name,
        decoded.max_connections,
        health_path=decoded.health_path
        if _PATH.fullmatch(decoded.health_path)
        else '',
        cold_per_second=decoded.warmup_per_s,
        cold_seconds=decoded.warmup_s,
    )
    if decoded.engine is None:
        return pool
    return replace(
        pool,
        slots=decoded.engine.slots,
        memory_tokens=decoded.engine.kv_capacity,
        moves=decoded.engine.moves,
        copy_retention_seconds=decoded.engine.handle_ttl_s,
    )


def _limits(decoded: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=decoded.max_header_bytes,
        body_bytes=decoded.max_body_bytes,
        header_timeout_seconds=decoded.header_timeout_ms / _MILLISECONDS,
        idle_timeout_seconds=decoded.idle_timeout_ms / _MILLISECONDS,
        tokens_per_second=decoded.tokens_per_s,
    )
