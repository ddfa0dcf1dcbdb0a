"""What becomes of the response to one request at a backend server."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum, StrEnum, auto


class BreakReason(StrEnum):
    """Why a response is incomplete."""

    CLOSED = 'closed'
    RESET = 'reset'
    UNREADABLE = 'unreadable'
    OVERSIZED = 'oversized'


class ResponseEnd(Enum):
    """What marks the end of a response."""

    FRAMED = auto()
    """Its length, its last chunk, or a status that has no body."""
    CLOSED = auto()
    """The server has closed the connection, for whatever reason."""


class ResponseSink(ABC):
    """Receives the response to one request, on the event loop's thread."""

    @abstractmethod
    def head_received(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        skippable: bool,
    ) -> bool:
        """Handle the status and the headers.

        :param skippable: the response may be skipped, as its end is known.
        :return: whether to skip it and wait for the next one.
        """

    @abstractmethod
    def body_received(self, piece: bytes) -> None:
        """Handle bytes of the body."""

    @abstractmethod
    def completed(self, end: ResponseEnd) -> None:
        """Handle the end of a response.

        :param end: what marks it; a closed connection states nothing.
        """

    @abstractmethod
    def interrupted(self, reason: BreakReason) -> None:
        """Handle the failure of a response that stays incomplete."""
