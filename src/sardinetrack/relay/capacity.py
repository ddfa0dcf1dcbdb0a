"""How much work one entry takes on before it refuses."""

from __future__ import annotations

from typing import Final

from sardinetrack.relay.settings import NodeSettings

BASE_BYTES: Final = 45_000_000
"""A started entry with its metrics page loaded; 27 MB measured without."""
CONNECTION_BYTES: Final = 64_000
"""A caller's connection; 55 KB measured as the mean of 1,846 of which half
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


class Capacity:
    """Bounds of one entry from its memory, descriptors and lateness.

    An instance that gets more than its share of the callers would otherwise
    take all of it, run out of memory and lose every request that it holds.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Work out the bounds."""
        room = max(CONNECTION_BYTES, settings.memory_bytes - BASE_BYTES)
        by_descriptors = int(settings.max_descriptors * DESCRIPTORS_PART)
        self.most_connections = min(by_descriptors, room // CONNECTION_BYTES)
        self.most_requests = max(1, room // REQUEST_BYTES)
        self.overloaded = False
        self.late_seconds = float(0)

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

    def takes(self, requests: int) -> bool:
        """Whether another request may come beside those under way."""
        return not self.overloaded and requests < self.most_requests
