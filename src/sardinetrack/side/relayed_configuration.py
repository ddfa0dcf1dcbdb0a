"""Configuration of a side, as relayed by entries."""

from __future__ import annotations

from sardinetrack.catalogue.api import Pool
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate
from sardinetrack.side.configuration import SideConfiguration


class RelayedConfiguration(SideConfiguration):
    """The catalogue as received from entries, limited to the side's pool."""

    def __init__(self, pool: str) -> None:
        """Create a configuration without any objects.

        :param pool: the pool of the side's backend server.
        """
        self._pool_name = pool
        self._view = CatalogueView()

    def pool(self) -> Pool | None:
        """The side's own pool; ``None`` until a configuration was received."""
        for pool in self._view.pools():
            if pool.name == self._pool_name:
                return pool
        return None

    def apply(self, update: ConfigUpdate) -> bool:
        """Apply newer objects and ignore older ones."""
        return self._view.apply(update)

    def digest(self) -> ConfigDigest:
        """Summarise the active configuration."""
        return self._view.digest()

    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        """Collect the objects that a peer lacks."""
        return self._view.update_for(peer)
