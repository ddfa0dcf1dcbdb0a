"""The sealed segments of a shard: read once, then known by short hashes."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from sardinetrack.once.draft import CLOCK_SKEW_SECONDS
from sardinetrack.once.record import ClaimRecord, Segment, segment_key
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    StoredObject,
    UnavailableError,
)

_SHORT_CHARACTERS: Final = 16
_HEX: Final = 16


class _Index:
    """Eight bytes for each key; a hit is checked in the segment itself."""

    def __init__(self, records: Iterable[ClaimRecord]) -> None:
        """Sort the short hashes of the keys."""
        self._hashes = array(
            'Q',
            sorted(_short(record.key) for record in records),
        )

    def may_hold(self, key: str) -> bool:
        """Tell whether the key may be in the segment."""
        short = _short(key)
        place = bisect_left(self._hashes, short)
        return place < len(self._hashes) and self._hashes[place] == short


class Segments:
    """Finds records in the sealed segments of one shard."""

    def __init__(self, platform: Platform, shard: int) -> None:
        """Know no segment yet."""
        self._platform = platform
        self._shard = shard
        self._indexes: dict[int, _Index] = {}

    async def find(
        self,
        segments: Sequence[Segment],
        keys: Iterable[str],
        now: float,
    ) -> dict[str, ClaimRecord]:
        """Find the newest sealed record of each key.

        :param segments: as the head lists them, oldest first.
        :raises PlatformError: a segment can't be read.
        """
        live = [segment for segment in segments if not is_over(segment, now)]
        await self._learn(live)
        found: dict[str, ClaimRecord] = {}
        for key in keys:
            record = await self._find(live, key)
            if record is not None:
                found[key] = record
        return found

    async def seal(
        self,
        number: int,
        records: Sequence[ClaimRecord],
    ) -> Segment | None:
        """Write a segment that no head lists yet.

        :return: ``None`` when another writer has left an object there.
        :raises PlatformError: it may or may not have been written.
        """
        try:
            stored = await self._platform.put(
                segment_key(self._shard, number),
                msgspec.json.encode(records),
                expected_version=0,
            )
        except ConflictError:
            return None
        return Segment(number, stored.version, _latest_expiry(records))

    def sealed(self, segment: Segment, records: Sequence[ClaimRecord]) -> None:
        """Remember a segment of one's own, now that a head lists it."""
        self._indexes[segment.number] = _Index(records)

    async def version_of(self, number: int) -> int:
        """Tell the version of an object that another writer left."""
        stored = await self._platform.get(segment_key(self._shard, number))
        return stored.version if stored else 0

    async def remove(self, segment: Segment) -> None:
        """Delete a segment whose time is over, before it is unlisted.

        In this order a crash in between leaves it listed, and the next
        writer deletes it again; the other order would leave it for ever.
        """
        try:
            await self._platform.delete(
                segment_key(self._shard, segment.number),
                expected_version=segment.object_version,
            )
        except ConflictError:
            return
        finally:
            self._indexes.pop(segment.number, None)

    async def _learn(self, segments: Iterable[Segment]) -> None:
        for segment in segments:
            if segment.number not in self._indexes:
                records = await self._read(segment)
                self._indexes[segment.number] = _Index(records)

    async def _find(
        self,
        segments: Sequence[Segment],
        key: str,
    ) -> ClaimRecord | None:
        for segment in reversed(segments):
            if not self._indexes[segment.number].may_hold(key):
                continue
            for record in await self._read(segment):
                if record.key == key:
                    return record
        return None

    async def _read(self, segment: Segment) -> Sequence[ClaimRecord]:
        stored = await self._platform.get(
            segment_key(self._shard, segment.number),
        )
        return _records_of(stored, segment)


def is_over(segment: Segment, now: float) -> bool:
    """Tell whether a segment's time is over by everybody's clock."""
    return segment.expires_at_seconds + CLOCK_SKEW_SECONDS < now


def _records_of(
    stored: StoredObject | None,
    segment: Segment,
) -> Sequence[ClaimRecord]:
    # Without its records a key would look free that has been used: refusing
    # claims is the lesser harm.
    if stored is None or stored.version != segment.object_version:
        raise UnavailableError(f'segment {segment.number} is not there')
    try:
        return msgspec.json.decode(stored.value, type=tuple[ClaimRecord, ...])
    except msgspec.DecodeError as error:
        raise UnavailableError(str(error)) from error


def _latest_expiry(records: Iterable[ClaimRecord]) -> int:
    return max(record.expires_at_seconds for record in records)


def _short(key: str) -> int:
    return int(key[:_SHORT_CHARACTERS], _HEX)
