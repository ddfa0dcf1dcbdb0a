"""The requests at an engine, and their slots and KV cache."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.batch import BatchLimit
from sardinetrack.admission.request import AdmissionRequest
from sardinetrack.admission.slot_occupancy import SlotOccupancy
from sardinetrack.fairness.decaying_service import (
    HALF_LIFE_SECONDS,
    DecayingService,
)

MEMORY_FRACTION: Final = 0.72
"""Fraction of an engine's KV cache for the own tokens of requests.

The rest caches the shared prefixes in use; when the cache is full the engine
evicts the newest request and prefills it again from the start.
"""
_ENGINE: Final = ''


@dataclass(slots=True)
class RunningRequest:
    """A granted request."""

    request: AdmissionRequest
    granted_seconds: float
    expected_seconds: float
    """From the grant to its first event, as estimated at the grant."""
    first_event_seconds: float | None = None
    """When its first event came, on the monotonic clock."""


class RunningRequests:
    """Counts slots and KV cache tokens, and averages slot occupancy."""

    def __init__(self, slots: int, memory_tokens: int) -> None:
        """Start idle.

        :param slots: requests that the engine runs concurrently.
        :param memory_tokens: tokens that fit into its KV cache.
        """
        self.batch = BatchLimit()
        self._occupancy = SlotOccupancy()
        self._turnover = DecayingService[str]()
        self._running: dict[str, RunningRequest] = {}
        self._kv_cache_tokens = 0
        self.resize(slots, memory_tokens)

    def resize(self, slots: int, memory_tokens: int) -> None:
        """Change the engine's size."""
        self._slots = slots
        self._memory_tokens = memory_tokens

    def __len__(self) -> int:
        """Count the requests."""
        return len(self._running)

    def __contains__(self, permit_id: str) -> bool:
        """Whether a request is at the engine."""
        return permit_id in self._running

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests."""
        return self.batch.limit(self._slots)

    @property
    def slots_left(self) -> int:
        """Number of free slots."""
        return max(0, self.limit - len(self._running))

    @property
    def held_seconds(self) -> float:
        """Mean time a request occupies its slot; 0 until one has ended."""
        return self._occupancy.seconds

    @property
    def pause_objective_seconds(self) -> float:
        """Smallest pause objective of the streams; infinite without any.

        A request is a stream from its first event on.
        """
        return min(
            (
                one.request.event_gap_seconds
                for one in self._running.values()
                if one.first_event_seconds is not None
            ),
            default=math.inf,
        )

    def slot_seconds(self, before: int) -> float:
        """Estimate how long a request waits for a slot.

        An engine with few slots runs out of slots before it is busy with
        prefill; by the prefill backlog alone the estimate would be zero for a
        request that waits for a slot.

        :param before: requests that get a slot before it.
        """
        short = before + 1 - self.slots_left
        if short <= 0:
            return 0
        return short * self.held_seconds / self.limit

    def retention_seconds(self, now: float) -> float:
        """Estimate how long the engine caches a prefix after its last use.

        It evicts what was used least recently when new tokens need the space
        that running requests leave.
        """
        free_tokens = max(0, self._memory_tokens - self._kv_cache_tokens)
        recent_tokens = self._turnover.tokens(now, _ENGINE)
        rate_tokens = recent_tokens * math.log(2) / HALF_LIFE_SECONDS
        if rate_tokens <= 0:
            return math.inf
        return free_tokens / rate_tokens

    def has_memory(self, request: AdmissionRequest) -> bool:
        """Whether the tokens that a request adds fit into the KV cache."""
        kept = self._kv_cache_tokens + request.kv_cache_tokens
        return kept <= self._memory_tokens * MEMORY_FRACTION

    def add(
        self, now: float, request: AdmissionRequest, expected_seconds: float
    ) -> None:
        """Add a granted request.

        :param expected_seconds: estimated time to its first event.
        """
        self._running[request.permit_id] = RunningRequest(
            request, now, expected_seconds
        )
        self._turnover.add(now, _ENGINE, request.kv_cache_tokens)
        self._kv_cache_tokens += request.kv_cache_tokens

    def first_event(self, now: float, permit_id: str) -> RunningRequest | None:
        """Record a first event.

        :return: its request; ``None`` if it is not here, or had one before.
        """
        running = self._running.get(permit_id)
        if running is None or running.first_event_seconds is not None:
            return None
        running.first_event_seconds = now
        return running

    def ended(self, now: float, permit_id: str, *, complete: bool) -> bool:
        """Free the slot and the KV cache of a request.

        :param complete: its caller has the complete response.
        :return: whether it was here.
        """
        running = self._running.pop(permit_id, None)
        if running is None:
            return False
        self._kv_cache_tokens -= running.request.kv_cache_tokens
        if running.first_event_seconds is not None:
            self._occupancy.ended(now - running.granted_seconds)
            if complete:
                decode_seconds = now - running.first_event_seconds
                self.batch.completed(
                    decode_seconds, running.request.output_tokens
                )
        return True

    def clear(self) -> None:
        """Drop all requests: the engine has restarted."""
        self._running.clear()
        self._kv_cache_tokens = 0
