"""Data classes of the catalogue, as the rest of the system reads them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

CATALOGUE_PREFIX: Final = 'catalogue/'
"""Keys are ``catalogue/<kind>/<name>``."""


class EntryKind(StrEnum):
    """What a catalogue entry describes."""

    WORKSPACE = 'workspace'
    POOL = 'pool'


class ServiceClass(StrEnum):
    """Class of a workspace; it sets the defaults of its limits."""

    INTERACTIVE = 'interactive'
    STANDARD = 'standard'
    BATCH = 'batch'


class PoolClass(StrEnum):
    """Class of a pool: what its backend servers speak."""

    MODEL = 'model'
    SERVICE = 'service'


@dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """What a workspace may use of every pool, over the whole fleet."""

    weight: float
    concurrency: int
    """Requests that may run at once."""
    rate_per_second: float
    waiting: int
    """Requests that may wait at one entry."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace in force."""

    name: str
    owner: str
    service_class: ServiceClass
    limits: WorkspaceLimits
    token_hashes: frozenset[str]
    """Hex SHA-256 digests of the callers' bearer tokens."""


@dataclass(frozen=True, slots=True)
class RepeatableCall:
    """A call of a plain service that may be repeated safely."""

    method: str
    path_prefix: str


@dataclass(frozen=True, slots=True)
class Pool:
    """One pool of backend servers in force."""

    name: str
    owner: str
    pool_class: PoolClass
    slots_per_server: int
    """First guess of a server's concurrency; the side learns the rest."""
    max_body_bytes: int
    max_run_seconds: float
    models: tuple[str, ...]
    """Model names served by a model pool."""
    repeatable: tuple[RepeatableCall, ...]
    checks_fencing: frozenset[str]
    """Backend servers that refuse an order with an old fencing number."""
    prompt_token_cost: float
    """Cost of one prompt token in units of one generated token."""
