"""The part of the catalogue that a side needs."""

from __future__ import annotations

from abc import ABC, abstractmethod

from sardinetrack.catalogue.api import Pool
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate


class SideConfiguration(ABC):
    """The active configuration of a side; the owner task updates it."""

    @abstractmethod
    def pool(self) -> Pool | None:
        """The side's own pool; ``None`` until a configuration was received."""

    @abstractmethod
    def apply(self, update: ConfigUpdate) -> bool:
        """Apply newer objects and ignore older ones.

        :return: whether anything changed.
        """

    @abstractmethod
    def digest(self) -> ConfigDigest:
        """Summarise the active configuration."""

    @abstractmethod
    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        """Collect the objects that a peer lacks.

        :return: ``None`` when it lacks none or is ahead.
        """
