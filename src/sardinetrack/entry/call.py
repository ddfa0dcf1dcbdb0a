"""A caller's request on its way to a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.routing.api import Work


@dataclass(frozen=True, slots=True)
class Call:
    """What is to be run, and for whom."""

    caller_id: str
    """The request id that the caller knows."""
    work: Work
    workspace: Workspace
    pool: Pool
    method: str
    path: str
    """Path and query at the backend server."""
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streams: bool
    """The caller asked for server-sent events of a model."""
    prompt_cost: float
    """Cost units of the prompt alone."""
    idempotency_key: str | None
