"""The operator's configuration as the relay uses it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto


class RouteKind(Enum):
    """What may be repeated on a route."""

    STREAMING = auto()
    IDEMPOTENT = auto()
    NON_IDEMPOTENT = auto()


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool and its part of a route's requests."""

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
    first_answer_seconds: float
    """Objective: to the whole answer, or to the first event of a stream."""
    event_gap_seconds: float
    """Longest pause between events that is still on time; 0 if none is set."""
    priority: int
    """0 is the highest."""
    anonymous: bool
    resumable: bool
    """A stream may go on at another backend server after a given event."""
    by_prompt: bool
    """Requests tell the parts of their prompt."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time after an unknown end."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Pool:
    """Backend servers that run the same requests."""

    name: str
    max_connections: int
    """Connections that one server takes from all callers together."""
    slots: int = 0
    """Requests that a model engine runs at once; 0 for a plain service."""
    memory_tokens: int = 0
    cold_per_second: float = 0
    """Requests a second that a cold server bears; 0 for no bound."""
    cold_seconds: float = 0
    """How long a server is cold after its start."""

    @property
    def runs_models(self) -> bool:
        """Whether its servers are model engines."""
        return self.slots > 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """Who calls."""

    name: str
    priority: int | None = None
    """Goes before the priority of the route when set."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    tokens_per_second: float = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version, whole."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    """By host; of one host the longest prefix first."""
    pools: Mapping[str, Pool]
    workspaces: Mapping[str, Workspace]
    """By API key."""
    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
