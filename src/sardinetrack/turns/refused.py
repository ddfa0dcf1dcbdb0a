"""Requests that a side has refused, so that it knows them when they return."""

from __future__ import annotations

from typing import Final

REMEMBER_SECONDS: Final = 12.0
"""How long after its first refusal a request may still come back."""
_MOST_REMEMBERED: Final = 10_000
"""A crowd of 800 refused a second at one side for as long."""


class RefusedRequests:
    """Remembers when each was first asked for; reads no clock.

    A caller that comes back after a refusal connects to another entry, with a
    new id. Its objective still counts from its first attempt.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._first: dict[str, float] = {}

    def note(self, first_seconds: float, fingerprint: str) -> None:
        """Note a refusal.

        :param first_seconds: when the request was first asked for.
        """
        if fingerprint in self._first:
            return
        self._first[fingerprint] = first_seconds
        if len(self._first) > _MOST_REMEMBERED:
            self._first.pop(next(iter(self._first)))

    def waited_seconds(self, now: float, fingerprint: str) -> float:
        """Tell how long ago a request was first asked for; 0 if it is new."""
        first_seconds = self._first.get(fingerprint)
        if first_seconds is None:
            return 0
        waited_seconds = now - first_seconds
        if waited_seconds > REMEMBER_SECONDS:
            self._first.pop(fingerprint)
            return 0
        return waited_seconds
