"""The sealed segments of a shard, indexed in memory by short hashes."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.once.head_update import CLOCK_SKEW_SECONDS
from sardinetrack.once.record import ClaimRecord, Segment, segment_key
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    StoredObject,
    UnavailableError,
)

_HASH_CHARACTERS: Final = 16
_HEX_BASE: Final = 16
_SEGMENTS: Final = JsonDecoder[tuple[ClaimRecord, ...]](tuple[ClaimRecord, ...])


class _KeyIndex:
    """Holds eight bytes for each key; the segment itself confirms a hit."""

    def __init__(self, records: Iterable[ClaimRecord]) -> None:
        """Index the keys of some records."""
        self._hashes = array(
            'Q',
            sorted(_key_hash(record.key) for record in records),
        )

    def may_contain(self, key: str) -> bool:
        """Return whether the key may be in the segment."""
        key_hash = _key_hash(key)
        position = bisect_left(self._hashes, key_hash)
        return (
            position < len(self._hashes) and self._hashes[position] == key_hash
        )


class Segments:
    """Finds records in the sealed segments of one shard."""

    def __init__(self, platform: Platform, shard: int) -> None:
        """Start without indexes."""
        self._platform = platform
        self._shard = shard
        self._indexes: dict[int, _KeyIndex] = {}

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
        unexpired = [
            segment for segment in segments if not is_expired(segment, now)
        ]
        await self._load_indexes(unexpired)
        found: dict[str, ClaimRecord] = {}
        for key in keys:
            record = await self._find(unexpired, key)
            if record is not None:
                found[key] = record
        return found

    async def seal(
        self,
        number: int,
        records: Sequence[ClaimRecord],
    ) -> Segment | None:
        """Write a segment that no head lists yet.

        :return: ``None`` if another writer has left an object there.
        :raises PlatformError: the segment may or may not be written.
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

    def add_index(
        self, segment: Segment, records: Sequence[ClaimRecord]
    ) -> None:
        """Index a segment that this process has sealed."""
        self._indexes[segment.number] = _KeyIndex(records)

    async def version_of(self, number: int) -> int:
        """Return the version of an object that another writer has left."""
        stored = await self._platform.get(segment_key(self._shard, number))
        return stored.version if stored else 0

    async def remove(self, segment: Segment) -> None:
        """Delete an expired segment, before the head stops listing it.

        In this order a crash in between leaves it listed, and the next
        writer deletes it again; in the other order it would stay stored
        indefinitely.
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

    async def _load_indexes(self, segments: Iterable[Segment]) -> None:
        for segment in segments:
            if segment.number not in self._indexes:
                records = await self._read(segment)
                self._indexes[segment.number] = _KeyIndex(records)

    async def _find(
        self,
        segments: Sequence[Segment],
        key: str,
    ) -> ClaimRecord | None:
        for segment in reversed(segments):
            if not self._indexes[segment.number].may_contain(key):
                continue
            for record in await self._read(segment):
                if record.key == key:
                    return record
        return None

    async def _read(self, segment: Segment) -> Sequence[ClaimRecord]:
        stored = await self._platform.get(
            segment_key(self._shard, segment.number),
        )
        return _decode_records(stored, segment)


def is_expired(segment: Segment, now: float) -> bool:
    """Return whether a segment has expired by every entry's clock."""
    return segment.expires_at_seconds + CLOCK_SKEW_SECONDS < now


def _decode_records(
    stored: StoredObject | None,
    segment: Segment,
) -> Sequence[ClaimRecord]:
    # Without the segment's records a used key would look free: to reject
    # claims does less harm.
    if stored is None or stored.version != segment.object_version:
        raise UnavailableError(
            f'segment {segment.number} is missing or replaced'
        )
    try:
        return _SEGMENTS.decode(stored.value)
    except UnreadableError as error:
        raise UnavailableError(str(error)) from error


def _latest_expiry(records: Iterable[ClaimRecord]) -> int:
    return max(record.expires_at_seconds for record in records)


def _key_hash(key: str) -> int:
    return int(key[:_HASH_CHARACTERS], _HEX_BASE)
