"""Which servers hold which shared parts, as far as the sides have told."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

FIRST_HOLD_SECONDS: Final = 9.0
"""How long a part is taken to stay in an engine's memory after its last use,
where its side has not told it.

Source: an engine of today's size reads its memory's worth of new tokens in
about 14 s under full load and drops what was used longest ago.
"""
MOST_HOLD_SECONDS: Final = 20.0
"""Of a side's word; an engine that reads little keeps parts for minutes, but a
cache event or a restart may have been missed meanwhile."""
SHARED_TOKENS: Final = 400
"""Parts that are shorter are read again without asking where they are."""
_MOST_PARTS: Final = 50_000


class Holdings:
    """Last use of each shared part at each server, by server address."""

    def __init__(self) -> None:
        """Start knowing of none."""
        self._used: dict[str, dict[str, float]] = {}
        self._hold_seconds: dict[str, float] = {}

    def note(self, now: float, ip: str, parts: Iterable[str]) -> None:
        """Note that a server has read or used parts."""
        for part in parts:
            self._used.setdefault(part, {})[ip] = now
        if len(self._used) > _MOST_PARTS:
            self._forget(now)

    def keeps(self, ip: str, seconds: float) -> None:
        """Note how long a server keeps a part after its last use."""
        self._hold_seconds[ip] = seconds

    def of(self, now: float, part: str) -> Mapping[str, float]:
        """Tell the servers that should hold a part, with the last use."""
        return {
            ip: used
            for ip, used in self._used.get(part, {}).items()
            if now - used < self._hold_seconds.get(ip, FIRST_HOLD_SECONDS)
        }

    def lose(self, ip: str) -> None:
        """Forget what a server held that started anew."""
        self._hold_seconds.pop(ip, None)
        for used in self._used.values():
            used.pop(ip, None)

    def _forget(self, now: float) -> None:
        self._used = {
            part: held
            for part in self._used
            if (held := dict(self.of(now, part)))
        }
