"""What a model engine reports of itself to its side."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One running request that has made a token."""

    request_id: str
    tokens: int
    """In the KV cache, prompt included."""
    events: int
    """Events of its stream so far."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state of an engine at one moment."""

    started_milliseconds: int | None
    """Unix time of its start by its own clock, if it reports one."""
    queued: int
    """Requests that wait inside the engine."""
    active: int
    """Running requests, those that are being prefilled included."""
    runs: tuple[EngineRun, ...]
    leaves_seconds: float | None = None
    """How long it still serves, if it leaves and knows it."""

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits at the engine."""
        return not self.queued and not self.active

    @property
    def is_prefilling(self) -> bool:
        """Whether a prompt is being prefilled or waits for it."""
        return self.queued > 0 or self.active > len(self.runs)
