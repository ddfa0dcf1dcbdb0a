"""Software versions that served each pool lately; reads no clock."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from sardinetrack.topology.stream_origin import STREAM_SECONDS, StreamOrigin

VersionAge = tuple[str, str, float]
"""Pool, version, and how many seconds ago it was listed."""


class PoolVersions:
    """When each version was listed last, here or by another process.

    A version counts for a minute after its last server has gone: streams that
    it began may still be continued. Times are on the boot clock.
    """

    def __init__(self) -> None:
        """Start without versions."""
        self._last_seconds: dict[StreamOrigin, float] = {}
        self._listed: frozenset[StreamOrigin] = frozenset()

    def update(self, now: float, listed: Collection[StreamOrigin]) -> bool:
        """Replace the versions that are listed.

        :return: whether there is another one, or one less.
        """
        before = self._listed
        self._listed = frozenset(listed)
        for origin in before | self._listed:
            self._last_seconds[origin] = now
        self._drop_expired(now)
        return before != self._listed

    def merge(self, now: float, ages: Iterable[VersionAge]) -> bool:
        """Add what another process has listed.

        :return: whether one of its versions was not known.
        """
        known = set(self._recent(now))
        for pool, version, age_seconds in ages:
            origin = StreamOrigin(pool, version)
            earlier = self._last_seconds.get(origin, -STREAM_SECONDS)
            self._last_seconds[origin] = max(earlier, now - age_seconds)
        return not known.issuperset(self._recent(now))

    def of_pool(self, now: float, pool: str) -> frozenset[str]:
        """Return the versions that a stream of a pool may have begun at."""
        recent = self._recent(now)
        return frozenset(one.version for one in recent if one.pool == pool)

    def differ(self, now: float) -> bool:
        """Whether a pool has had several versions."""
        recent = self._recent(now)
        return len({one.pool for one in recent}) < len(recent)

    def ages(self, now: float) -> tuple[VersionAge, ...]:
        """Return what another process may need to know."""
        return tuple(
            (one.pool, one.version, self._age_seconds(now, one))
            for one in self._recent(now)
        )

    def _age_seconds(self, now: float, origin: StreamOrigin) -> float:
        if origin in self._listed:
            return 0
        return round(now - self._last_seconds[origin], 3)

    def _recent(self, now: float) -> list[StreamOrigin]:
        return [
            origin
            for origin in self._last_seconds
            if self._age_seconds(now, origin) < STREAM_SECONDS
        ]

    def _drop_expired(self, now: float) -> None:
        self._last_seconds = {
            origin: self._last_seconds[origin] for origin in self._recent(now)
        }
