"""A caller's request, checked and ready to be routed to a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.routing.api import RoutedRequest


@dataclass(frozen=True, slots=True)
class Call:
    """A checked request: its workspace, its pool and what the server runs."""

    external_request_id: str
    """The request id that the caller sent or received (``x-request-id``)."""
    work: RoutedRequest
    workspace: Workspace
    pool: Pool
    method: str
    path: str
    """Path and query, as sent to the backend server."""
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streams: bool
    """Whether the caller requested a model response as server-sent events."""
    prompt_cost: float
    """Cost units of the prompt alone."""
    idempotency_key: str | None
