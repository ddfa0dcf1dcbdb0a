"""Abstract ends of a borrowed view: who lends it, and who takes it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from sardinetrack.views.messages import FromFollower, FromWatcher


class Neighbour(ABC):
    """Another instance that may watch the store for this one."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Its name, the same for everybody."""

    @property
    @abstractmethod
    def live(self) -> bool:
        """Whether it can be told something."""

    @abstractmethod
    def tell(self, message: FromFollower) -> None:
        """Send it a message."""


class Neighbours(ABC):
    """Those that may watch for this instance."""

    @abstractmethod
    def ranked(self) -> Sequence[Neighbour]:
        """List the live ones, the one to ask first in front."""


class Inbox(ABC):
    """Takes what neighbours tell."""

    @property
    @abstractmethod
    def borrowed(self) -> bool:
        """Whether a neighbour's word is in force."""

    @abstractmethod
    def take(self, name: str, message: FromWatcher) -> None:
        """Take a message of a neighbour."""

    @abstractmethod
    def lost(self, name: str) -> None:
        """Note that a neighbour is gone."""


class NoInbox(Inbox):
    """Before there is a view that neighbours may tell."""

    @property
    def borrowed(self) -> bool:
        """Whether a neighbour's word is in force: never."""
        return False

    def take(self, name: str, message: FromWatcher) -> None:
        """Nothing was asked for."""

    def lost(self, name: str) -> None:
        """Nobody was followed."""


class Follower(ABC):
    """One connection of the watcher to who follows it."""

    @abstractmethod
    def tell(self, message: FromWatcher) -> None:
        """Send it a message."""
