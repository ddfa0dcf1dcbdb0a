"""Records of the ledger."""

from __future__ import annotations

from dataclasses import dataclass, field

from sardinetrack.messages.api import ServiceRow


@dataclass(slots=True)
class Account:
    """What one workspace received and holds, in cost units per weight."""

    level: float = 0
    service: float = 0
    outstanding: float = 0
    running: int = 0
    waiting: int = 0
    peer_outstanding: float = 0
    peer_running: int = 0
    peer_waiting: int = 0
    peers_waiting: int = 0
    """How many peers hold waiting work."""
    reported_running: int = 0
    """What the last own report said was running."""
    changed_seconds: float = 0

    @property
    def tag(self) -> float:
        """Virtual time of the workspace."""
        return self.level + self.outstanding + self.peer_outstanding

    @property
    def backlogged(self) -> bool:
        """Whether work waits at any entry, as far as known."""
        return self.waiting > 0 or self.peer_waiting > 0


@dataclass(slots=True)
class Charge:
    """What a running request is charged ahead, per weight."""

    workspace: str
    weight: float
    hint: float
    settled: float = 0
    outstanding: float = 0
    """Charged and not settled."""

    def wanted(self, most: float) -> float:
        """Compute what should be outstanding.

        :param most: charged ahead at most, at weight 1.
        """
        left = max(0, self.hint - self.settled)
        return min(most / self.weight, left)


@dataclass(slots=True)
class Peer:
    """The last word of another entry."""

    incarnation: str
    live: bool = True
    rows: dict[str, ServiceRow] = field(default_factory=dict)
