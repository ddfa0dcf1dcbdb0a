"""Strikes: records of requests running when a backend server crashed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.messages.api import Strike

STRIKE_TTL_SECONDS: Final = 600.0
SERVERS_TO_BLOCK: Final = 2
_MAX_FINGERPRINTS: Final = 10_000
_MAX_SENT_FINGERPRINTS: Final = 200
"""To a new peer; sending all would overflow the link's outbox."""


class StrikeRegistry:
    """Counts the different servers that crashed while a fingerprint ran."""

    def __init__(self, servers_to_block: int = SERVERS_TO_BLOCK) -> None:
        """Create a registry without strikes.

        :param servers_to_block: different servers that crash before a
            fingerprint is blocked.
        """
        self._servers_to_block = servers_to_block
        self._expiries: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        """Count the fingerprints with strikes."""
        return len(self._expiries)

    def add(self, now: float, strike: Strike) -> None:
        """Record a strike.

        :param now: monotonic time.
        :param strike: of this entry or received from a peer.
        """
        if not strike.fingerprint:
            return
        servers = self._expiries.pop(strike.fingerprint, {})
        servers[strike.backend_server] = now + strike.expires_in_seconds
        self._expiries[strike.fingerprint] = servers
        if len(self._expiries) > _MAX_FINGERPRINTS:
            self._expiries.pop(next(iter(self._expiries)))

    def count(self, now: float, fingerprint: str) -> int:
        """Count the servers with an active strike."""
        expiries = self._expiries.get(fingerprint, {})
        return sum(expiry > now for expiry in expiries.values())

    def blocked_seconds(self, now: float, fingerprint: str) -> float:
        """Return how long a fingerprint stays blocked; 0 when it is not."""
        if self.count(now, fingerprint) < self._servers_to_block:
            return 0
        expiries = sorted(self._expiries[fingerprint].values(), reverse=True)
        return max(0, expiries[self._servers_to_block - 1] - now)

    def active(self, now: float) -> list[Strike]:
        """Return the active strikes of the newest fingerprints."""
        newest = list(self._expiries)[-_MAX_SENT_FINGERPRINTS:]
        return [
            Strike(fingerprint, server, expiry - now)
            for fingerprint in newest
            for server, expiry in self._expiries[fingerprint].items()
            if expiry > now
        ]

    def clear(self, fingerprint: str) -> Sequence[Strike]:
        """Remove the strikes of a request that completed.

        :param fingerprint: of the request.
        :return: strikes that expire immediately, to clear the request at
            other entries.
        """
        servers = self._expiries.pop(fingerprint, {})
        return [Strike(fingerprint, server, 0) for server in servers]

    def remove_expired(self, now: float) -> None:
        """Remove expired strikes."""
        for fingerprint in list(self._expiries):
            if not self.count(now, fingerprint):
                self._expiries.pop(fingerprint)
