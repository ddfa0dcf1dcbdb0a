"""The operator's configuration in the form that the relay uses."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto


class RouteKind(Enum):
    """Kind of the requests on a route; it decides whether they are retried."""

    STREAMING = auto()
    IDEMPOTENT = auto()
    NON_IDEMPOTENT = auto()


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool and its weight among the pools of a route."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host under one path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[WeightedPool, ...]
    max_servers: int
    """Backend servers that one request may be sent to."""
    timeout_seconds: float
    first_event_objective_seconds: float
    """Objective: to the complete response, or a stream's first event."""
    event_gap_seconds: float
    """Objective: longest time between two events; 0 if none is set."""
    priority: int
    """0 is the highest."""
    anonymous: bool
    resumable: bool
    """Whether a stream may resume at another server after a given event."""
    by_prompt: bool
    """Whether requests list the blocks of their prompts."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again if its outcome is unknown."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Pool:
    """Backend servers that run the same requests."""

    name: str
    max_connections: int
    """Connections that one server accepts from all entries together."""
    slots: int = 0
    """Requests a model engine runs concurrently; 0 for a plain service."""
    memory_tokens: int = 0
    """Size of an engine's KV cache."""
    cold_per_second: float = 0
    """Requests a second that a cold server handles; 0 for no limit."""
    cold_seconds: float = 0
    """How long a server is cold after its start."""
    health_path: str = ''
    """Where its servers respond with their ids; empty if nowhere."""
    moves: bool = False
    """Whether streams are moved off an engine that leaves."""
    copy_retention_seconds: float = 5
    """How long engines keep the copy of a moved KV cache after its last use."""

    @property
    def runs_models(self) -> bool:
        """Whether its servers are model engines."""
        return self.slots > 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """Customer whose share a request is charged to."""

    name: str
    priority: int | None = None
    """Overrides the priority of the route if set."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0
    tokens_per_second: float = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version, complete."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    """By host; the longest prefix of a host first."""
    pools: Mapping[str, Pool]
    workspaces: Mapping[str, Workspace] | None
    """By API key; ``None`` where requests need no key.

    Without any key left it is empty, and no request has a valid one.
    """
    limits: CallerLimits

    def workspace(self, api_key: str | None) -> Workspace | None:
        """Return the workspace of a key; ``None`` for one that is not valid."""
        return (self.workspaces or {}).get(api_key) if api_key else None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest that matches."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
