"""What a process of the relay is told about itself."""

from __future__ import annotations

from dataclasses import asdict, dataclass

Listen = tuple[str, int]
"""IP and port."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Addresses and bounds of one instance."""

    instance: str
    ip: str
    failure_domain: str
    callers: Listen | None
    ready: Listen | None
    turns_port: int
    """Where the side of an engine listens, on every instance alike."""
    metrics_port: int
    store: Listen
    grace_seconds: float
    """From the signal to stop until the process is killed."""
    revoke_seconds: float | None
    max_descriptors: int
    """Files and sockets that the process may hold."""
    memory_bytes: int
    """Beyond it the process is killed."""
    retry_ratio: float
    """Second sends, as a part of the requests of the whole fleet."""
    retry_window_seconds: float
    retry_slack: float
    """Second sends of the whole fleet in a window beyond the ratio."""
    evacuates: bool = False
    """Whether the operator evacuates failure domains by objects in the store;
    where none does nobody watches for them."""

    def changed_from(self, earlier: NodeSettings) -> list[str]:
        """Name the fields that differ from earlier settings."""
        before = asdict(earlier)
        return [
            name
            for name, content in asdict(self).items()
            if content != before[name]
        ]
