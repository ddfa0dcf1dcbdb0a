"""Records of the ledger."""

from __future__ import annotations

from dataclasses import dataclass, field

from sardinetrack.messages.api import ServiceRow


@dataclass(slots=True)
class Account:
    """Service and requests of one workspace, in cost units per weight."""

    settled_service: float = 0
    """Virtual time by settled service, at all entries."""
    service: float = 0
    """Settled service received through this entry; never falls."""
    outstanding: float = 0
    """Charged for running requests of this entry, not settled yet."""
    running: int = 0
    waiting: int = 0
    peer_outstanding: float = 0
    peer_running: int = 0
    peer_waiting: int = 0
    peers_waiting: int = 0
    """Number of peers with waiting requests."""
    reported_running: int = 0
    """Running requests in this entry's last report."""
    changed_seconds: float = 0
    """Last change, on the monotonic clock."""

    @property
    def tag(self) -> float:
        """Virtual start time of the workspace's next request."""
        return self.settled_service + self.outstanding + self.peer_outstanding

    @property
    def backlogged(self) -> bool:
        """Whether requests wait at any entry, as far as known."""
        return self.waiting > 0 or self.peer_waiting > 0


@dataclass(slots=True)
class Charge:
    """What a running request is charged in advance, per weight."""

    workspace: str
    weight: float
    estimate: float
    """Estimated cost."""
    settled: float = 0
    outstanding: float = 0
    """Charged and not settled."""

    def target(self, maximum: float) -> float:
        """Return what should be outstanding.

        :param maximum: charged in advance at most, at weight 1.
        """
        left = max(0, self.estimate - self.settled)
        return min(maximum / self.weight, left)


@dataclass(slots=True)
class Peer:
    """The last report of another entry."""

    incarnation: str
    live: bool = True
    rows: dict[str, ServiceRow] = field(default_factory=dict)
