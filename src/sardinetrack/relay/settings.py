"""The settings of one instance of the relay."""

from __future__ import annotations

from dataclasses import asdict, dataclass

SocketAddress = tuple[str, int]
"""IP and port."""


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Addresses and limits of one instance."""

    instance: str
    ip: str
    failure_domain: str
    callers: SocketAddress | None
    ready: SocketAddress | None
    turns_port: int
    """Where the side of an engine listens, the same on every instance."""
    metrics_port: int
    store: SocketAddress
    grace_seconds: float
    """From the signal to stop until the process is killed."""
    drain_seconds: float
    """From the store's acceptance of a server's leaving until no request may
    arrive there any more."""
    revoke_seconds: float | None
    max_descriptors: int
    """Files and sockets that the process may have open."""
    memory_bytes: int
    """The process is killed if it uses more."""
    retry_ratio: float
    """Retries, as a fraction of the requests of the whole fleet."""
    retry_window_seconds: float
    retry_slack: float
    """Retries of the whole fleet in a window beyond the ratio."""
    evacuates: bool = False
    """Whether the operator evacuates failure domains by objects in the store;
    if not, they are not watched."""
    engine: SocketAddress | None = None
    """Where the model engine of a side reports its state; ``None`` if it has
    none on its machine. An entry doesn't use it."""

    def changed_from(self, earlier: InstanceSettings) -> list[str]:
        """Return the names of the fields that differ from earlier settings."""
        before = asdict(earlier)
        return [
            name
            for name, content in asdict(self).items()
            if content != before[name]
        ]
