"""Workspaces whose requests are refused, and since when."""

from __future__ import annotations

from typing import Final, NamedTuple

BREAK_SECONDS: Final = 1.0
"""A workspace without a refusal for so long is no longer short.

The users' promise of an even share holds for a workspace that waits, or is
refused, in each second.
"""
_MAX_NAMES: Final = 20_000


class _Short(NamedTuple):
    since_seconds: float
    """First refusal without a break, on the monotonic clock."""
    last_seconds: float


class Shortage:
    """Records refusals by workspace; reads no clock."""

    def __init__(self) -> None:
        """Start without refusals."""
        # In the order of the last refusal, the newest last.
        self._short: dict[str, _Short] = {}

    def record(self, now: float, workspace: str) -> None:
        """Record a refusal.

        :param now: monotonic time.
        """
        since_seconds = now - self.seconds(now, workspace)
        self._short.pop(workspace, None)
        self._short[workspace] = _Short(since_seconds, now)
        if len(self._short) > _MAX_NAMES:
            self._short.pop(next(iter(self._short)))

    def seconds(self, now: float, workspace: str) -> float:
        """Return how long a workspace has been short; 0 if it is not."""
        short = self._short.get(workspace)
        if short is None or now - short.last_seconds > BREAK_SECONDS:
            return 0
        return now - short.since_seconds
