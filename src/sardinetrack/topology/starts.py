"""Which start of a backend server is the newest one; reads no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import xxhash

UNKNOWN_START_HASH: Final = 0


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server, as somebody has told it.

    A server may start again under its id. It then holds nothing of before:
    no shared part, no request, no connection.
    """

    instance: str
    started_milliseconds: int | None
    """Unix time of the start by the server's own clock, which may jump; it
    tells starts apart and does not order them. ``None``: it was not told."""
    revision: int
    """Of the store when this was written there; it orders what is told. 0
    for a word whose revision is unknown."""

    @property
    def start_hash(self) -> int:
        """Name the start in few bytes, the same at every process.

        Two starts of one server have the same mark once in four thousand
        million; their words would then be taken for one another's for as long
        as it takes until the list tells of the later one.
        """
        name = f'{self.instance}/{self.started_milliseconds}'
        return xxhash.xxh32_intdigest(name.encode()) or 1

    def supersedes(self, held: ServerStart) -> bool:
        """Whether this is another start than the held one, and a later one.

        Words come over several ways: the own list, a neighbour's view, a
        side. One that was under way for long tells of a start that is over;
        by the server's clock it might look newer, by the store's revision it
        never does.
        """
        if self._same(held):
            return False
        return not self.older_than(held)

    def older_than(self, held: ServerStart) -> bool:
        """Whether this was written to the store before the held one."""
        return written_before(self.revision, held.revision)

    def _same(self, held: ServerStart) -> bool:
        if self.instance != held.instance:
            return False
        told = (self.started_milliseconds, held.started_milliseconds)
        return None in told or told[0] == told[1]


def written_before(revision: int, held_revision: int) -> bool:
    """Whether a word is older than the held one; 0 is of no known age."""
    return 0 < revision < held_revision
