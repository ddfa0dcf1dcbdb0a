"""Which servers cache which shared prefixes, as far as the sides report."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

DEFAULT_RETENTION_SECONDS: Final = 9.0
"""How long a prefix is assumed to stay in an engine's KV cache after its last
use, unless its side reports the time.

Source: an engine of current size prefills as many new tokens as its KV cache
holds in about 14 s under full load, and evicts what was used least recently.
"""
MAX_RETENTION_SECONDS: Final = 20.0
"""Limit on a side's report; an engine that prefills little caches prefixes for
minutes, but a cache event or a restart may have been missed during that time.
"""
MIN_SHARED_PREFIX_TOKENS: Final = 400
"""Shorter prefixes are prefilled again, wherever they are cached."""
_MAX_PREFIXES: Final = 50_000


class PrefixCacheIndex:
    """Last use of each shared prefix at each server, by server address.

    Times are on the monotonic clock of the caller.
    """

    def __init__(self) -> None:
        self._last_uses: dict[str, dict[str, float]] = {}
        self._retention_seconds: dict[str, float] = {}

    def record(self, now: float, ip: str, prefixes: Iterable[str]) -> None:
        """Record that a server has prefilled or used prefixes."""
        for prefix in prefixes:
            self._last_uses.setdefault(prefix, {})[ip] = now
        if len(self._last_uses) > _MAX_PREFIXES:
            self._drop_expired(now)

    def set_retention(self, ip: str, seconds: float) -> None:
        """Set how long a server caches a prefix after its last use."""
        self._retention_seconds[ip] = seconds

    def servers_with(self, now: float, prefix: str) -> Mapping[str, float]:
        """Return the servers that should cache a prefix, with the last use."""
        return {
            ip: used
            for ip, used in self._last_uses.get(prefix, {}).items()
            if now - used
            < self._retention_seconds.get(ip, DEFAULT_RETENTION_SECONDS)
        }

    def remove_server(self, ip: str) -> None:
        """Drop the prefixes of a server that has restarted."""
        self._retention_seconds.pop(ip, None)
        for used in self._last_uses.values():
            used.pop(ip, None)

    def _drop_expired(self, now: float) -> None:
        self._last_uses = {
            prefix: servers
            for prefix in self._last_uses
            if (servers := dict(self.servers_with(now, prefix)))
        }
