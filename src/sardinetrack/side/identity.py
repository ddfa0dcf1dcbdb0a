"""Identity of a side."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.config.model import SideSettings
from sardinetrack.links.api import Hello, PeerRole


@dataclass(frozen=True, slots=True)
class SideIdentity:
    """Names of a side process and of its backend server."""

    instance: str
    incarnation: str
    """Differs for each start of the process."""
    pool: str
    backend_server: str
    failure_domain: str

    @classmethod
    def of(cls, settings: SideSettings, incarnation: str) -> SideIdentity:
        """Build the identity from the settings."""
        return cls(
            instance=settings.instance,
            incarnation=incarnation,
            pool=settings.pool,
            backend_server=settings.backend_server,
            failure_domain=settings.failure_domain,
        )

    def hello(self) -> Hello:
        """Build the handshake message that peers receive when a link opens."""
        return Hello(
            instance=self.instance,
            role=PeerRole.SIDE,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
        )
