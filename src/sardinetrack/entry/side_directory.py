"""The linked sides (sidecars of backend servers), as attempts use them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from sardinetrack.http.client import HttpClient
from sardinetrack.links.secret import PeerSecret


@dataclass(frozen=True, slots=True)
class SideEndpoint:
    """Addresses one incarnation of a side process."""

    name: str
    address: str
    incarnation: str
    backend_server: str

    def url(self, path: str) -> str:
        """Return the URL of a path of the side's peer endpoint."""
        return f'http://{self.address}{path}'


class SideDirectory(ABC):
    """The sides that this entry is linked to."""

    entry: str
    """Name of this entry's instance."""
    http: HttpClient
    secret: PeerSecret

    @abstractmethod
    def find(self, name: str) -> SideEndpoint | None:
        """Return a linked side, ``None`` when its link is down."""

    @abstractmethod
    async def wait_lost(self, side: SideEndpoint) -> None:
        """Return when the side process has been unreachable for a while."""

    @abstractmethod
    async def wait_link_broken(self, side: SideEndpoint) -> None:
        """Return when the link to the side process has broken at least once."""
