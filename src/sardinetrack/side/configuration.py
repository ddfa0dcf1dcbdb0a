"""The part of the catalogue that a side needs, behind a small interface."""

from __future__ import annotations

from abc import ABC, abstractmethod

from sardinetrack.catalogue.api import Pool
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate


class SideConfiguration(ABC):
    """The configuration in force at a side; the owner task applies it."""

    @abstractmethod
    def pool(self) -> Pool | None:
        """The side's own pool; ``None`` before any configuration came."""

    @abstractmethod
    def apply(self, update: ConfigUpdate) -> bool:
        """Take in newer objects; older ones change nothing.

        :return: whether anything changed.
        """

    @abstractmethod
    def digest(self) -> ConfigDigest:
        """Describe in brief what is in force."""

    @abstractmethod
    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        """Collect what a peer lacks.

        :return: ``None`` when it lacks nothing or is ahead.
        """
