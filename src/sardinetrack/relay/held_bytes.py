"""The bytes of large requests that an entry holds, bounded for all together.

The limits on requests and connections assume heads and bodies of a usual size.
What a request has beyond that is held here, so that callers who all send the
largest one allowed can't make the entry exceed its memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Final

READING_INCLUDED_BYTES: Final = 16_384
"""Bytes of a request being read that the limit on connections allows for."""
WAITING_BYTES: Final = 4096
"""Memory of a request that waits for earlier ones on its connection, beside its
head and body."""
RUNNING_INCLUDED_BYTES: Final = 49_152
"""The same for a request in progress, by the limit on requests."""
_OVERALLOCATION_DIVISOR: Final = 8
"""A growing buffer has up to an eighth more than what it holds."""
CROWDED_FRACTION: Final = 0.5
"""Fraction of the limit from which it is shared between workspaces."""
SHARED_FRACTION: Final = 0.9
"""Fraction that is shared then; the rest is for workspaces that hold nothing.
"""


class HeldBytes:
    """Counts the held bytes of each workspace; no I/O."""

    def __init__(self, limit_bytes: Callable[[], int]) -> None:
        """Start with nothing held.

        :param limit_bytes: returns how many may be held now.
        """
        self._limit_bytes = limit_bytes
        self._held: Counter[str] = Counter()
        self.total_bytes = 0

    def open(self, workspace: str) -> BodyHold:
        """Return a hold of no bytes for one request.

        :param workspace: by which the bytes are shared.
        """
        return BodyHold(self, workspace)

    def try_add(self, workspace: str, size_bytes: int) -> bool:
        """Hold more bytes if a workspace may.

        While much is held, each workspace gets an equal share. Otherwise the
        bodies of one workspace would leave no room for those of others.

        :return: whether they are held.
        """
        limit = self._limit_bytes()
        total = self.total_bytes + size_bytes
        of_workspace = self._held[workspace] + size_bytes
        sharing = len(self._held.keys() | {workspace})
        crowded = total > CROWDED_FRACTION * limit
        if total > limit or (
            crowded and of_workspace * sharing > SHARED_FRACTION * limit
        ):
            self._discard_empty(workspace)
            return False
        self._held[workspace] = of_workspace
        self.total_bytes = total
        return True

    def remove(self, workspace: str, size_bytes: int) -> None:
        """Hold fewer bytes."""
        self.total_bytes -= size_bytes
        self._held[workspace] -= size_bytes
        self._discard_empty(workspace)

    def _discard_empty(self, workspace: str) -> None:
        if not self._held[workspace]:
            self._held.pop(workspace, None)


class BodyHold:
    """The bytes that are held for one request."""

    def __init__(self, account: HeldBytes, workspace: str) -> None:
        """Start without any."""
        self._account = account
        self._workspace = workspace
        self._held_bytes = 0

    def grow(self, request_bytes: int) -> bool:
        """Hold what a request of this size needs while it is being read.

        :param request_bytes: its size so far, or as announced.
        :return: whether there is room for it.
        """
        return self._grow(_needed(request_bytes, READING_INCLUDED_BYTES))

    def _grow(self, needed_bytes: int) -> bool:
        more = needed_bytes - self._held_bytes
        if more <= 0:
            return True
        if not self._account.try_add(self._workspace, more):
            return False
        self._held_bytes += more
        return True

    def wait(self, request_bytes: int) -> bool:
        """Hold all of a complete request while earlier ones are served.

        The limit on connections allows for one request on each.

        :return: whether there is room for it.
        """
        return self._grow(_needed(request_bytes + WAITING_BYTES, 0))

    def complete(self, request_bytes: int) -> None:
        """Hold what a complete request needs until it has ended."""
        needed = _needed(request_bytes, RUNNING_INCLUDED_BYTES)
        self._shrink(min(needed, self._held_bytes))

    def release(self) -> None:
        """Hold nothing any more; may be called again."""
        self._shrink(0)

    def _shrink(self, size_bytes: int) -> None:
        if size_bytes < self._held_bytes:
            self._account.remove(self._workspace, self._held_bytes - size_bytes)
            self._held_bytes = size_bytes


def _needed(request_bytes: int, included_bytes: int) -> int:
    needed = request_bytes + request_bytes // _OVERALLOCATION_DIVISOR
    return max(0, needed - included_bytes)
