"""How an engine's time is used, as its admission sees it; reads no clock."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class EngineActivity(StrEnum):
    """What an engine does at a moment."""

    IDLE = 'idle'
    """It runs nothing."""
    DECODING = 'answering'
    """It only decodes; it could prefill more, and no request waits."""
    PREFILLING = 'reading'
    """It prefills a prompt, and no request waits."""
    FULL = 'full'
    """It prefills a prompt, and requests wait."""
    SPACED = 'spaced'
    """Requests wait only so that no stream pauses for too long."""
    SLOTS_EXHAUSTED = 'held_slots'
    """It prefills nothing though requests wait: no slot is free."""
    COLD_START_LIMITED = 'held_cold'
    """It prefills nothing though requests wait: the cold start limits it."""
    MEMORY_EXHAUSTED = 'held_memory'
    """It prefills nothing though requests wait: the next one does not fit into
    the KV cache."""


def activity_with_queue(
    slots_left: int, *, prefills: bool, cold: bool
) -> EngineActivity:
    """Return what an engine does while the next request has no room there."""
    if prefills:
        return EngineActivity.FULL
    if not slots_left:
        return EngineActivity.SLOTS_EXHAUSTED
    if cold:
        return EngineActivity.COLD_START_LIMITED
    return EngineActivity.MEMORY_EXHAUSTED


def activity_without_queue(running: int, *, prefills: bool) -> EngineActivity:
    """Return what an engine does while no request waits for it.

    :param running: number of requests at the engine.
    """
    if not running:
        return EngineActivity.IDLE
    return EngineActivity.PREFILLING if prefills else EngineActivity.DECODING


def _no_time() -> defaultdict[EngineActivity, float]:
    return defaultdict(float)


@dataclass(slots=True)
class EngineUsage:
    """Time by activity, grants and refusals since the last report."""

    seconds: defaultdict[EngineActivity, float] = field(
        default_factory=_no_time,
    )
    granted: int = 0
    granted_tokens: int = 0
    """Prompt tokens to prefill."""
    granted_service: Counter[str] = field(default_factory=Counter)
    """Service of the granted requests by workspace, in tokens."""
    refused_at_once: int = 0
    """Refused immediately on arrival."""
    refused_late: int = 0
    """Refused after they had waited."""
    begun: int = 0
    begin_seconds: float = 0
    """Sum of the times from the grant to the first event."""
    expected_seconds: float = 0
    """Sum of the same times as estimated at the grant."""
    _activity: EngineActivity = EngineActivity.IDLE
    _since_seconds: float | None = None

    def record_activity(self, now: float, activity: EngineActivity) -> None:
        """Count the time since the last call for the activity set then."""
        if self._since_seconds is not None:
            self.seconds[self._activity] += now - self._since_seconds
        self._activity = activity
        self._since_seconds = now

    def record_grant(
        self, tokens: int, workspace: str, service_tokens: float
    ) -> None:
        """Count a granted permit.

        :param tokens: prompt tokens to prefill.
        :param service_tokens: what its workspace receives by it.
        """
        self.granted += 1
        self.granted_tokens += tokens
        self.granted_service[workspace] += int(service_tokens)

    def record_refusal(self, waited_seconds: float) -> None:
        """Count a refused request."""
        if waited_seconds > 0:
            self.refused_late += 1
        else:
            self.refused_at_once += 1

    def record_first_event(
        self, took_seconds: float, expected_seconds: float
    ) -> None:
        """Count the first event of a request.

        :param took_seconds: since its grant.
        :param expected_seconds: the same as estimated at the grant.
        """
        self.begun += 1
        self.begin_seconds += took_seconds
        self.expected_seconds += expected_seconds

    def next_report(self, now: float) -> EngineUsage:
        """Close this report and return an empty one that starts now."""
        self.record_activity(now, self._activity)
        return EngineUsage(_activity=self._activity, _since_seconds=now)
