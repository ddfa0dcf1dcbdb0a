"""What the composition root hands to an entry."""

from __future__ import annotations

from dataclasses import dataclass, field

from sardinetrack.config.model import EntrySettings
from sardinetrack.entry.claims import Claims
from sardinetrack.entry.heads import HeadBounds
from sardinetrack.links.api import Hello, PeerRole
from sardinetrack.links.secret import PeerSecret
from sardinetrack.routing.api import Routing
from sardinetrack.store.api import Platform


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Settings, secret, platform and decision object of one entry."""

    settings: EntrySettings
    peer_secret: PeerSecret
    incarnation: str
    """Differs for each start of the process."""
    routing: Routing
    platform: Platform
    claims: Claims
    head_bounds: HeadBounds = field(default_factory=HeadBounds)
    balancer_seconds: float = 2.0
    """How long the platform's balancer may still send callers to an instance
    that is no longer ready."""

    def hello(self) -> Hello:
        """Say who this process is."""
        return Hello(
            instance=self.settings.instance,
            role=PeerRole.ENTRY,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
        )
