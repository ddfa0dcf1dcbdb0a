"""Requests that were running when backend servers crashed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.messages.api import Strike

STRIKE_SECONDS: Final = 600.0
SERVERS_TO_CONDEMN: Final = 2
_MAX_FINGERPRINTS: Final = 10_000
_MOST_TOLD: Final = 200
"""Fingerprints told to a new peer; all would overflow the link's outbox."""


class StrikeBook:
    """Counts the different servers that crashed under a fingerprint."""

    def __init__(self, servers_to_condemn: int = SERVERS_TO_CONDEMN) -> None:
        """Start empty.

        :param servers_to_condemn: different ones that crashed.
        """
        self._condemns = servers_to_condemn
        self._expiries: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        """Count the fingerprints with strikes."""
        return len(self._expiries)

    def add(self, now: float, strike: Strike) -> None:
        """Note a strike.

        :param now: monotonic time.
        :param strike: own or heard from a peer.
        """
        if not strike.fingerprint:
            return
        servers = self._expiries.pop(strike.fingerprint, {})
        servers[strike.backend_server] = now + strike.expires_in_seconds
        self._expiries[strike.fingerprint] = servers
        if len(self._expiries) > _MAX_FINGERPRINTS:
            self._expiries.pop(next(iter(self._expiries)))

    def count(self, now: float, fingerprint: str) -> int:
        """Count the servers with a strike that holds."""
        expiries = self._expiries.get(fingerprint, {})
        return sum(expiry > now for expiry in expiries.values())

    def condemned_seconds(self, now: float, fingerprint: str) -> float:
        """Tell how long a fingerprint is refused; 0 when it is not."""
        if self.count(now, fingerprint) < self._condemns:
            return 0
        expiries = sorted(self._expiries[fingerprint].values(), reverse=True)
        return max(0, expiries[self._condemns - 1] - now)

    def holding(self, now: float) -> list[Strike]:
        """List the strikes that hold; the newest when they are very many."""
        newest = list(self._expiries)[-_MOST_TOLD:]
        return [
            Strike(fingerprint, server, expiry - now)
            for fingerprint in newest
            for server, expiry in self._expiries[fingerprint].items()
            if expiry > now
        ]

    def clear(self, fingerprint: str) -> Sequence[Strike]:
        """Forget the strikes of a request that ran to its end.

        :param fingerprint: of the request.
        :return: strikes that expire at once; they clear it at other entries.
        """
        servers = self._expiries.pop(fingerprint, {})
        return [Strike(fingerprint, server, 0) for server in servers]

    def forget(self, now: float) -> None:
        """Drop expired strikes."""
        for fingerprint in list(self._expiries):
            if not self.count(now, fingerprint):
                self._expiries.pop(fingerprint)
