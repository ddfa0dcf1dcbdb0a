"""Abstract ends of a borrowed view: its sender and its receiver."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

from sardinetrack.views.messages import FromFollower, FromWatcher

STORE_SOURCE: Final = 'store'
"""The source of a view that is read directly."""


class Neighbour(ABC):
    """Another instance, which may watch the store for this one."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of the neighbour, the same for every instance."""

    @property
    @abstractmethod
    def live(self) -> bool:
        """Whether it can receive messages."""

    @abstractmethod
    def send_message(self, message: FromFollower) -> None:
        """Send the neighbour a message."""


class NeighbourList(ABC):
    """The neighbours that may watch the store for this instance."""

    @abstractmethod
    def ranked(self) -> Sequence[Neighbour]:
        """Return the live neighbours, the preferred one first."""


class ViewReceiver(ABC):
    """Receives the messages of neighbours."""

    @property
    @abstractmethod
    def borrowed(self) -> bool:
        """Whether a neighbour's view is in effect."""

    @property
    @abstractmethod
    def source(self) -> str:
        """Name of the neighbour whose view is in effect, else the store."""

    @abstractmethod
    def take(self, name: str, message: FromWatcher) -> None:
        """Handle a message of a neighbour."""

    @abstractmethod
    def lost(self, name: str) -> None:
        """Handle the loss of the connection to a neighbour."""


class NullViewReceiver(ViewReceiver):
    """Placeholder until there is a view that neighbours may update."""

    @property
    def borrowed(self) -> bool:
        """Whether a neighbour's view is in effect: never."""
        return False

    @property
    def source(self) -> str:
        """The store, as there are no neighbours."""
        return STORE_SOURCE

    def take(self, name: str, message: FromWatcher) -> None:
        """Ignore the message: no view was subscribed to."""

    def lost(self, name: str) -> None:
        """Ignore the loss: no view was subscribed to."""


class ViewSubscriber(ABC):
    """Watcher's end of the connection to one of its subscribers."""

    @abstractmethod
    def send_message(self, message: FromWatcher) -> None:
        """Send the subscriber a message."""
