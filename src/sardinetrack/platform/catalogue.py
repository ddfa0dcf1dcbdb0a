"""The operator's objects in the store, decoded once into product types."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import Final, Literal

import msgspec

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
"""An object stands there for each zone that is evacuated, under its name."""
_MILLISECONDS: Final = 1000.0
_KINDS: Final = MappingProxyType(
    {
        'streaming': RouteKind.STREAMING,
        'idempotent': RouteKind.IDEMPOTENT,
        'non_idempotent': RouteKind.NON_IDEMPOTENT,
    },
)


class _Camel(msgspec.Struct, rename='camel'):
    """Names on the wire are in camel case."""


class _Weighted(msgspec.Struct):
    service: str
    weight: float


class _Route(_Camel):
    name: str
    host: str
    path_prefix: str
    type: Literal['streaming', 'idempotent', 'non_idempotent']
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 0
    service: str = ''
    weighted_services: list[_Weighted] = []
    # How many engines one attempt of a client may be sent to, the first too.
    max_attempts: int = 1
    anonymous: bool = False
    # Its requests carry the parts of their prompts; no session is pinned.
    session_affinity: bool = False
    stream_resume: bool = False
    target_gap_ms: float = 0


class _Engine(_Camel):
    slots: int
    kv_capacity: int


class _Service(_Camel):
    name: str
    max_connections: int = 64
    engine: _Engine | None = None
    warmup_s: float = 0
    warmup_per_s: float = 0


class _Limits(_Camel):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000
    tokens_per_s: float = 0


class _Tenant(_Camel):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(_Camel):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


def configuration_of(spec: bytes) -> Configuration:
    """Translate the operator's newest configuration.

    :raises TranslationError: it is not one.
    """
    try:
        read = msgspec.json.decode(spec, type=_Config, strict=False)
    except msgspec.DecodeError as error:
        raise TranslationError(f'configuration: {error}') from error
    return Configuration(
        version=read.version,
        routes=_routes(read.routes),
        pools={service.name: _pool(service) for service in read.services},
        workspaces={
            key: Workspace(tenant.name, tenant.priority)
            for tenant in read.tenants
            for key in tenant.api_keys
        },
        limits=_limits(read.limits),
    )


def _routes(read: list[_Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in read:
        by_host.setdefault(route.host.lower(), []).append(_route(route))
    return {
        host: tuple(
            sorted(routes, key=_prefix_length, reverse=True),
        )
        for host, routes in by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def _route(read: _Route) -> Route:
    weighted = read.weighted_services or [_Weighted(read.service, 1)]
    return Route(
        name=read.name,
        host=read.host.lower(),
        path_prefix=read.path_prefix,
        kind=_KINDS[read.type],
        pools=tuple(WeightedPool(one.service, one.weight) for one in weighted),
        max_servers=max(1, read.max_attempts),
        timeout_seconds=read.timeout_ms / _MILLISECONDS,
        first_answer_seconds=read.target_latency_ms / _MILLISECONDS,
        event_gap_seconds=read.target_gap_ms / _MILLISECONDS,
        priority=read.priority,
        anonymous=read.anonymous,
        resumable=read.stream_resume,
        by_prompt=read.session_affinity,
    )


def _pool(read: _Service) -> Pool:
    pool = Pool(
        read.name,
        read.max_connections,
        cold_per_second=read.warmup_per_s,
        cold_seconds=read.warmup_s,
    )
    if read.engine is None:
        return pool
    return replace(
        pool,
        slots=read.engine.slots,
        memory_tokens=read.engine.kv_capacity,
    )


def _limits(read: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=read.max_header_bytes,
        body_bytes=read.max_body_bytes,
        header_seconds=read.header_timeout_ms / _MILLISECONDS,
        idle_seconds=read.idle_timeout_ms / _MILLISECONDS,
        tokens_per_second=read.tokens_per_s,
    )
