"""How many requests and connections one entry accepts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from sardinetrack.relay.memory import resident_bytes
from sardinetrack.relay.settings import InstanceSettings

BASE_BYTES: Final = 45_000_000
"""Memory of a started entry with its metrics page loaded; 27 MB without."""
CONNECTION_BYTES: Final = 64_000
"""Memory of a caller's connection: 55 KB on average over 1,846
connections, half of which had a prompt of 12 KB in progress."""
IDLE_CONNECTION_BYTES: Final = 25_600
"""Memory of a connection without a request in progress, with the beginning of
one that it may have read."""
REQUEST_BYTES: Final = 160_000
"""Memory of a request in progress: its body, the copy being sent, and both
connections."""
DESCRIPTORS_FRACTION: Final = 0.45
"""Fraction of the descriptors for callers; each may need one for a server
too."""
OVERLOADED_LATE_SECONDS: Final = 0.25
"""Lateness of the event loop from which the entry is overloaded.

Beyond it, callers that disconnect are detected late and servers work for
callers that are no longer there.
"""
RECOVERED_LATE_SECONDS: Final = 0.05
_SMOOTHING_FACTOR: Final = 0.5
HELD_FRACTION: Final = 0.5
"""Fraction of the memory beyond the base that large bodies may use; the rest
is for connections and for requests of the usual size."""
CROWDED_FRACTION: Final = 0.5
"""Fraction of the maximum requests from which they are shared between
workspaces."""
SHARED_FRACTION: Final = 0.9
"""Fraction that is shared then; the rest is for workspaces without any request
here."""
MEMORY_SHORT_FRACTION: Final = 0.85
"""Fraction of the memory from which an entry accepts no more requests and
connections than it has. What arrives within one sweep, and what the kernel
buffers unread, goes beyond it."""


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """The requests in progress at an entry when another one arrives."""

    requests: int
    of_workspace: int
    """Requests of the workspace that sends the new one."""
    workspaces: int
    """Workspaces with requests here, including the one that sends the new
    one."""


class Capacity:
    """Limits of one entry, by its memory, descriptors and event loop lateness.

    An instance that gets more than its fair share of the callers would
    otherwise accept all of it, run out of memory and lose every request in
    progress.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        used_bytes: Callable[[], int] = resident_bytes,
        held_bytes: Callable[[], int] = int,
    ) -> None:
        """Calculate the limits.

        :param used_bytes: returns how much memory the process uses.
        :param held_bytes: returns how much of it large bodies need, beyond
            what the limits allow for.
        """
        self._used_bytes = used_bytes
        self._held_bytes = held_bytes
        available_bytes = max(
            CONNECTION_BYTES, settings.memory_bytes - BASE_BYTES
        )
        by_descriptors = int(settings.max_descriptors * DESCRIPTORS_FRACTION)
        self.max_connections = min(
            by_descriptors, available_bytes // CONNECTION_BYTES
        )
        self.max_requests = max(1, available_bytes // REQUEST_BYTES)
        self._available_bytes = available_bytes
        self.overloaded = False
        self.late_seconds = float(0)
        self.memory_short = False
        self._memory_bytes = settings.memory_bytes
        self._requests_when_short = self.max_requests
        self._connections_when_short = self.max_connections
        self._held_when_short = 0

    def update_lateness(self, seconds: float) -> bool:
        """Update the average lateness of the event loop.

        :return: whether ``overloaded`` has changed.
        """
        self.late_seconds += _SMOOTHING_FACTOR * (seconds - self.late_seconds)
        bound = (
            RECOVERED_LATE_SECONDS
            if self.overloaded
            else OVERLOADED_LATE_SECONDS
        )
        overloaded = self.late_seconds > bound
        changed = overloaded != self.overloaded
        self.overloaded = overloaded
        return changed

    def update_memory(self, requests: int, connections: int) -> bool:
        """Freeze the limits at the current counts when memory runs short.

        Memory that was used once is not returned to the system. So the limits
        stay at the counts at which memory ran short, for as long as it is
        short; as many requests use that memory again.

        :return: whether ``memory_short`` has changed.
        """
        short = self._used_bytes() > MEMORY_SHORT_FRACTION * self._memory_bytes
        changed = short != self.memory_short
        if changed:
            self.memory_short = short
            self._requests_when_short = max(1, requests)
            self._connections_when_short = max(1, connections)
            self._held_when_short = self._held_bytes()
        return changed

    @property
    def connections(self) -> int:
        """The number of callers' connections that may be open now."""
        maximum = min(
            self.max_connections, self._unheld_bytes // CONNECTION_BYTES
        )
        if self.memory_short:
            return min(maximum, self._connections_when_short)
        return maximum

    @property
    def requests(self) -> int:
        """The number of requests that may be in progress now."""
        maximum = max(1, self._unheld_bytes // REQUEST_BYTES)
        if self.memory_short:
            return min(maximum, self._requests_when_short)
        return maximum

    @property
    def _unheld_bytes(self) -> int:
        return self._available_bytes - self._held_bytes()

    def max_held_bytes(self, requests: int, connections: int) -> int:
        """Return how many bytes of large bodies may be held now.

        :param requests: in progress.
        :param connections: open ones of callers.
        """
        used_bytes = requests * REQUEST_BYTES
        used_bytes += max(0, connections - requests) * IDLE_CONNECTION_BYTES
        maximum = min(
            int(HELD_FRACTION * self._available_bytes),
            self._available_bytes - used_bytes,
        )
        if self.memory_short:
            return min(maximum, self._held_when_short)
        return maximum

    def accepts(self, counts: RequestCounts) -> bool:
        """Whether a workspace may have another request in progress here.

        At a crowded entry each workspace gets an equal share. If requests were
        refused regardless of their workspace, the few of a small one would be
        lost in the flood of another before any side receives them, and the fair
        queueing at the sides could not help.
        """
        maximum = self.requests
        if counts.requests >= maximum:
            return False
        if self.overloaded:
            return 2 * counts.of_workspace * counts.workspaces < counts.requests
        if counts.requests < CROWDED_FRACTION * maximum:
            return True
        return (
            counts.of_workspace * counts.workspaces < SHARED_FRACTION * maximum
        )
