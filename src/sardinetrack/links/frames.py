"""Abstract WebSocket connection beneath a link."""

from __future__ import annotations

from abc import ABC, abstractmethod


class LinkLostError(Exception):
    """The connection beneath a link is closed."""


class FrameSocket(ABC):
    """One open WebSocket that carries text frames."""

    @abstractmethod
    async def send(self, frame: bytes) -> None:
        """Send one text frame.

        :param frame: UTF-8 text.
        :raises LinkLostError: the connection is closed.
        """

    @abstractmethod
    async def receive(self) -> bytes | str:
        """Wait for the next frame.

        :raises LinkLostError: the connection is closed.
        """

    @abstractmethod
    def abort(self) -> None:
        """Drop the connection without a closing handshake."""
