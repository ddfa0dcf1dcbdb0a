"""When each server was first known to leave; reads no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final, Protocol

MAX_KNOWN: Final = 1000
"""Leavings that are kept; the oldest are dropped."""


class _Listed(Protocol):
    """A listed server."""

    @property
    def leaving(self) -> bool:
        """Whether it is known to leave."""

    @property
    def revision(self) -> int:
        """Of the store when its record was written."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """A server that gets no new requests any more."""

    instance: str
    revision: int
    """Of its last record."""
    is_listed: bool
    """Whether it still has a record, which says that it leaves."""
    since_seconds: float
    """When the store responded last before it was known, by the boot clock: it
    accepted the leaving no earlier."""


class KnownLeavings:
    """The servers that are known to leave."""

    def __init__(self) -> None:
        """Start without any."""
        self._working: dict[str, int] = {}
        self._accepted: dict[str, float] = {}
        self._news: deque[Leaving] = deque(maxlen=MAX_KNOWN)

    def accepted_seconds(self, instance: str) -> float | None:
        """Return when the store has accepted a leaving, or a little earlier.

        :return: by the boot clock; ``None`` if it is not known to leave.
        """
        return self._accepted.get(instance)

    def note(self, instance: str, accepted_seconds: float) -> None:
        """Record a leaving, unless one is known."""
        self._accepted.setdefault(instance, accepted_seconds)
        while len(self._accepted) > MAX_KNOWN:
            self._accepted.pop(next(iter(self._accepted)))

    def update(
        self,
        listed: Mapping[str, _Listed],
        kept: Collection[str],
        *,
        accepted_seconds: float,
        since_seconds: float,
    ) -> None:
        """Compare the servers that get work with those of the last call.

        :param listed: all servers, also those that are leaving.
        :param kept: those that have no record and are kept for a while.
        :param accepted_seconds: see :meth:`accepted_seconds`.
        :param since_seconds: see :class:`Leaving`.
        """
        working = {
            instance: server.revision
            for instance, server in listed.items()
            if not server.leaving
        }
        for instance, revision in self._working.items():
            if instance in working:
                continue
            self.note(instance, accepted_seconds)
            self._news.append(
                Leaving(
                    instance,
                    max(revision, _revision(listed.get(instance))),
                    instance in listed,
                    since_seconds,
                ),
            )
        for instance in working.keys() - set(kept):
            self._accepted.pop(instance, None)
        self._working = working

    def take_news(self) -> list[Leaving]:
        """Return the leavings since the last call."""
        news = list(self._news)
        self._news.clear()
        return news


def _revision(server: _Listed | None) -> int:
    return 0 if server is None else server.revision
