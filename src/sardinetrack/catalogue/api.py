"""Data classes of the catalogue, as the rest of the system uses them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

CATALOGUE_PREFIX: Final = 'catalogue/'
"""Keys are ``catalogue/<kind>/<name>``."""


class CatalogueKind(StrEnum):
    """What a catalogue entry describes."""

    WORKSPACE = 'workspace'
    POOL = 'pool'


class ServiceClass(StrEnum):
    """Class of a workspace; it determines the defaults of its limits."""

    INTERACTIVE = 'interactive'
    STANDARD = 'standard'
    BATCH = 'batch'


class PoolClass(StrEnum):
    """Class of a pool: the protocol of its backend servers."""

    MODEL = 'model'
    SERVICE = 'service'


@dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """What a workspace may use of every pool, over the whole fleet."""

    weight: float
    concurrency: int
    """Requests that may run at the same time."""
    rate_per_second: float
    waiting: int
    """Requests that may wait at one entry."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """One active workspace."""

    name: str
    owner: str
    service_class: ServiceClass
    limits: WorkspaceLimits
    token_hashes: frozenset[str]
    """Hex SHA-256 digests of the callers' bearer tokens."""


@dataclass(frozen=True, slots=True)
class RepeatableCall:
    """A call of a plain service that can be repeated safely."""

    method: str
    path_prefix: str


@dataclass(frozen=True, slots=True)
class Pool:
    """One active pool of backend servers."""

    name: str
    owner: str
    pool_class: PoolClass
    slots_per_server: int
    """Initial estimate of a server's concurrency; the side adjusts it."""
    max_body_bytes: int
    max_run_seconds: float
    models: tuple[str, ...]
    """Model names served by a model pool."""
    repeatable: tuple[RepeatableCall, ...]
    checks_fencing: frozenset[str]
    """Backend servers that reject a load command with an old fencing token."""
    prompt_token_cost: float
    """Cost of one prompt token in units of one generated token."""
