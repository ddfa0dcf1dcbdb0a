"""Requests that a side has refused, to recognise them when they are retried."""

from __future__ import annotations

from typing import Final

REMEMBER_SECONDS: Final = 12.0
"""How long after its first attempt a refused request may be retried."""
_MAX_REMEMBERED: Final = 10_000
"""Enough for 800 refusals a second at one side during that time."""


class RefusedRequests:
    """Records when each refused request was first attempted; reads no clock.

    A caller that retries after a refusal connects to another entry, and its
    request has a new id. Its objective still counts from the first attempt.
    """

    def __init__(self) -> None:
        """Start without refusals."""
        self._first: dict[str, float] = {}

    def record(self, first_seconds: float, fingerprint: str) -> None:
        """Record a refusal.

        :param first_seconds: when a permit was first requested, by the clock
            of the event loop.
        """
        if fingerprint in self._first:
            return
        self._first[fingerprint] = first_seconds
        if len(self._first) > _MAX_REMEMBERED:
            self._first.pop(next(iter(self._first)))

    def waited_seconds(self, now: float, fingerprint: str) -> float:
        """Return the time since the first attempt; 0 for a new request."""
        first_seconds = self._first.get(fingerprint)
        if first_seconds is None:
            return 0
        waited_seconds = now - first_seconds
        if waited_seconds > REMEMBER_SECONDS:
            self._first.pop(fingerprint)
            return 0
        return waited_seconds
