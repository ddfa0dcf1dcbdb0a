"""How much work one entry takes on before it refuses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from sardinetrack.relay.memory import resident_bytes
from sardinetrack.relay.settings import NodeSettings

BASE_BYTES: Final = 45_000_000
"""A started entry with its metrics page loaded; 27 MB without."""
CONNECTION_BYTES: Final = 64_000
"""A caller's connection; 55 KB is the mean of 1,846 of which half
had a prompt of 12 KB under way."""
REQUEST_BYTES: Final = 160_000
"""A request under way: its body, the copy on its way, and both connections."""
DESCRIPTORS_PART: Final = 0.45
"""Part of the descriptors for callers; each may need one to a server too."""
LATE_SECONDS: Final = 0.25
"""A loop that is later than this has more to do than it can.

Callers that leave are noticed late then, and work goes on for nobody.
"""
CALM_SECONDS: Final = 0.05
_GAIN: Final = 0.5
CROWDED_PART: Final = 0.5
"""Part of the requests that it can hold from which an entry shares them out."""
SHARED_PART: Final = 0.9
"""Part that is shared out then; the rest is for who has nothing here yet."""
SHORT_PART: Final = 0.85
"""Part of the memory from which an entry takes on no more than it holds. What
comes in one sweep, and what the kernel holds unread, goes beyond it."""


@dataclass(frozen=True, slots=True)
class Crowd:
    """The requests under way at an entry when another one comes."""

    requests: int
    own: int
    """Those of the workspace that asks."""
    workspaces: int
    """Those that have requests here, the one that asks among them."""


class Capacity:
    """Bounds of one entry from its memory, descriptors and lateness.

    An instance that gets more than its share of the callers would otherwise
    take all of it, run out of memory and lose every request that it holds.
    """

    def __init__(
        self,
        settings: NodeSettings,
        used_bytes: Callable[[], int] = resident_bytes,
    ) -> None:
        """Work out the bounds.

        :param used_bytes: tells how much memory the process holds.
        """
        self._used_bytes = used_bytes
        room = max(CONNECTION_BYTES, settings.memory_bytes - BASE_BYTES)
        by_descriptors = int(settings.max_descriptors * DESCRIPTORS_PART)
        self.most_connections = min(by_descriptors, room // CONNECTION_BYTES)
        self.most_requests = max(1, room // REQUEST_BYTES)
        self.overloaded = False
        self.late_seconds = float(0)
        self.short = False
        self._memory_bytes = settings.memory_bytes
        self._held_requests = self.most_requests
        self._held_connections = self.most_connections

    def note_late(self, seconds: float) -> bool:
        """Learn how late the loop was.

        :return: whether ``overloaded`` has changed.
        """
        self.late_seconds += _GAIN * (seconds - self.late_seconds)
        bound = CALM_SECONDS if self.overloaded else LATE_SECONDS
        overloaded = self.late_seconds > bound
        changed = overloaded != self.overloaded
        self.overloaded = overloaded
        return changed

    def note_memory(self, requests: int, connections: int) -> bool:
        """Hold what there is when memory runs short.

        Memory that was used once is not given back, so the bound stays what
        it was when it was reached, for as long as memory is short; it is used
        again by as many requests.

        :return: whether ``short`` has changed.
        """
        short = self._used_bytes() > SHORT_PART * self._memory_bytes
        changed = short != self.short
        if changed:
            self.short = short
            self._held_requests = max(1, requests)
            self._held_connections = max(1, connections)
        return changed

    @property
    def connections(self) -> int:
        """Tell how many callers' connections may be open now."""
        if self.short:
            return min(self.most_connections, self._held_connections)
        return self.most_connections

    @property
    def requests(self) -> int:
        """Tell how many requests may be under way now."""
        if self.short:
            return min(self.most_requests, self._held_requests)
        return self.most_requests

    def takes(self, crowd: Crowd) -> bool:
        """Whether a workspace may have another request under way here.

        At a crowded entry each has its even share. Refused blindly, a few
        requests of a small workspace would be lost in another one's flood
        before any side hears of them, and least served first can't help.
        """
        most = self.requests
        if crowd.requests >= most:
            return False
        if self.overloaded:
            return 2 * crowd.own * crowd.workspaces < crowd.requests
        if crowd.requests < CROWDED_PART * most:
            return True
        return crowd.own * crowd.workspaces < SHARED_PART * most
