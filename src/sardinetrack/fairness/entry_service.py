"""What one entry had served to each workspace, and which it refuses."""

from __future__ import annotations

from sardinetrack.fairness.decaying_service import DecayingService
from sardinetrack.fairness.shortage import Shortage


class EntryService(DecayingService[str]):
    """Recent service by workspace, and the workspaces without enough of it."""

    def __init__(self) -> None:
        """Start with nothing served and nothing refused."""
        super().__init__()
        self._shortage = Shortage()

    def refused(self, now: float, workspace: str) -> None:
        """Record that a request of a workspace was refused."""
        self._shortage.record(now, workspace)

    def short_seconds(self, now: float, workspace: str) -> float:
        """Return how long requests of a workspace have been refused."""
        return self._shortage.seconds(now, workspace)
