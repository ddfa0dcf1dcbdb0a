"""Starts of backend servers, and which one is newer; reads no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import xxhash

UNKNOWN_START_HASH: Final = 0


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server, as its record or another process reports it.

    A server may restart with the same id. It then has no cached prefix,
    request or connection of its former start.
    """

    instance: str
    started_milliseconds: int | None
    """Unix time of the start by the server's own clock, which may jump: it
    distinguishes starts and does not order them. ``None`` if unknown."""
    revision: int
    """Of the store when the start was written there; it orders reports. 0 if
    unknown."""
    version: str = ''
    """Of the software; it changes with a start only. Empty if unknown."""

    @property
    def start_hash(self) -> int:
        """Hash that identifies the start, the same in every process.

        Two starts of one server collide with a probability of one in four
        thousand million; load reports of the former start would then be
        applied to the later one until the list shows the later one.
        """
        name = f'{self.instance}/{self.started_milliseconds}'
        return xxhash.xxh32_intdigest(name.encode()) or 1

    def supersedes(self, known: ServerStart) -> bool:
        """Whether this start is another and later one than the known start.

        Reports arrive by several paths: this instance's list, a neighbour's
        view, a side. A delayed one is about a start that has ended; by the
        server's clock it might look newer, by the store's revision it never
        does.
        """
        if self._same(known):
            return False
        return not self.older_than(known)

    def older_than(self, known: ServerStart) -> bool:
        """Whether this start was written to the store before the known one."""
        return written_before(self.revision, known.revision)

    def _same(self, known: ServerStart) -> bool:
        if self.instance != known.instance:
            return False
        times = (self.started_milliseconds, known.started_milliseconds)
        return None in times or times[0] == times[1]


def written_before(revision: int, known_revision: int) -> bool:
    """Whether a revision is known and older than the known record's."""
    return 0 < revision < known_revision
