"""What an attempt needs to know of the sides."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from sardinetrack.http.client import HttpClient
from sardinetrack.links.secret import PeerSecret


@dataclass(frozen=True, slots=True)
class KnownSide:
    """A side process whose link is or was up."""

    name: str
    address: str
    incarnation: str
    backend_server: str

    def url(self, path: str) -> str:
        """Name a resource of the side's peer endpoint."""
        return f'http://{self.address}{path}'


class Sides(ABC):
    """The sides that this entry is linked to."""

    entry: str
    """Name of this entry's instance."""
    http: HttpClient
    secret: PeerSecret

    @abstractmethod
    def find(self, name: str) -> KnownSide | None:
        """Look up a linked side."""

    @abstractmethod
    async def lost(self, side: KnownSide) -> None:
        """Return when the side process has been unreachable for a while."""

    @abstractmethod
    async def broke(self, side: KnownSide) -> None:
        """Return when the link to the side process has broken, if only once."""
