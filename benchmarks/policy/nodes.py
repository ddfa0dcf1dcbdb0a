"""Nodes of the fake fleet and their state."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from benchmarks.policy.shapes import Demand
from sardinetrack.admission.api import Admission
from sardinetrack.routing.api import RoutingPolicy
from sardinetrack.routing.shared import ProcessIdentity


class Policy(Protocol):
    """Builds the decision objects under measurement."""

    def routing(
        self, identity: ProcessIdentity, random: Random
    ) -> RoutingPolicy:
        """Build an entry's decisions."""

    def admission(self, incarnation: str, limit: int) -> Admission:
        """Build a side's decisions."""


@dataclass(slots=True)
class Request:
    """A caller's request and its state."""

    request_id: str
    demand: Demand
    entry: str
    waits: bool = True


@dataclass(slots=True)
class Running:
    """An attempt on a slot."""

    request: Request
    attempt_id: str
    since_seconds: float
    ended: bool = False

    @property
    def entry(self) -> str:
        """The entry that sent it."""
        return self.request.entry


@dataclass(slots=True)
class EntryNode:
    """An entry and its attempts: side and request by attempt id."""

    name: str
    routing: RoutingPolicy
    attempts: dict[str, tuple[str, Request]] = field(default_factory=dict)


@dataclass(slots=True)
class SideNode:
    """A side and the slots of its backend server."""

    name: str
    domain: str
    admission: Admission
    running: dict[str, Running] = field(default_factory=dict)
    run_requests: dict[str, Request] = field(default_factory=dict)
    announcing: bool = False
    epoch: int = 0
