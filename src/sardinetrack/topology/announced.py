"""Servers that have announced that they leave; reads no clock."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, Protocol

from sardinetrack.topology.starts import ServerStart

MAX_UNLISTED: Final = 1000
"""Announcements that are kept of servers that are no longer listed.

Twice as many servers as are replaced on a day; the oldest are dropped.
"""


class _Listed(Protocol):
    """A listed server."""

    @property
    def start(self) -> ServerStart:
        """Its start that is known."""


class AnnouncedLeavings:
    """The starts of servers that have announced their end.

    A server announces it in its responses, before its record shows it. Records
    of the same start that say otherwise are older, or come from a view that is
    behind, so an announcement also outlasts the removal of the record.
    """

    def __init__(self) -> None:
        """Start without announcements."""
        self._starts: dict[str, ServerStart] = {}

    def __len__(self) -> int:
        """Count the announcements."""
        return len(self._starts)

    def __contains__(self, start: ServerStart) -> bool:
        """Whether this start of a server has announced its end."""
        announced = self._starts.get(start.instance)
        return announced is not None and not start.supersedes(announced)

    def add(self, start: ServerStart) -> None:
        """Record the announcement of a start."""
        self._starts[start.instance] = start

    def update(self, listed: Mapping[str, _Listed]) -> None:
        """Drop what is about former starts, or too old."""
        unlisted: list[str] = []
        for instance, announced in list(self._starts.items()):
            server = listed.get(instance)
            if server is None:
                unlisted.append(instance)
            elif server.start.supersedes(announced):
                self._starts.pop(instance)
        for oldest in unlisted[: max(0, len(unlisted) - MAX_UNLISTED)]:
            self._starts.pop(oldest)
