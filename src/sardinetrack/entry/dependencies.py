"""What the composition root passes to an entry."""

from __future__ import annotations

from dataclasses import dataclass, field

from sardinetrack.config.model import EntrySettings
from sardinetrack.entry.claims import ClaimStore
from sardinetrack.entry.header_checks import HeaderLimits
from sardinetrack.links.api import Hello, PeerRole
from sardinetrack.links.secret import PeerSecret
from sardinetrack.routing.api import RoutingPolicy
from sardinetrack.store.api import Platform


@dataclass(frozen=True, slots=True)
class EntryDependencies:
    """Settings, secret, platform, routing policy and claims of an entry."""

    settings: EntrySettings
    peer_secret: PeerSecret
    incarnation: str
    """Unique to each start of the process."""
    routing: RoutingPolicy
    platform: Platform
    claims: ClaimStore
    head_bounds: HeaderLimits = field(default_factory=HeaderLimits)
    balancer_seconds: float = 2.0
    """How long the platform's load balancer may still send callers to an
    instance that is no longer ready."""

    def hello(self) -> Hello:
        """Return the message that identifies this process to peers."""
        return Hello(
            instance=self.settings.instance,
            role=PeerRole.ENTRY,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
        )
