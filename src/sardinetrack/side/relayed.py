"""The configuration of a side, as entries relay it."""

from __future__ import annotations

from sardinetrack.catalogue.api import Pool
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate
from sardinetrack.side.configuration import SideConfiguration


class RelayedConfiguration(SideConfiguration):
    """The catalogue's view, narrowed to the side's own pool."""

    def __init__(self, pool: str) -> None:
        """Start empty.

        :param pool: the pool of the side's backend server.
        """
        self._name = pool
        self._view = CatalogueView()

    def pool(self) -> Pool | None:
        """The side's own pool; ``None`` before any configuration came."""
        for pool in self._view.pools():
            if pool.name == self._name:
                return pool
        return None

    def apply(self, update: ConfigUpdate) -> bool:
        """Take in newer objects; older ones change nothing."""
        return self._view.apply(update)

    def digest(self) -> ConfigDigest:
        """Describe in brief what is in force."""
        return self._view.digest()

    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        """Collect what a peer lacks."""
        return self._view.update_for(peer)
