"""The stored log of one shard: reads it and writes batches to it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.once.head_update import (
    CachedHead,
    HeadUpdate,
    encode_head,
    is_definitely_valid,
)
from sardinetrack.once.operations import (
    ClaimOperation,
    EndOperation,
    Operation,
)
from sardinetrack.once.record import ClaimState, Segment, ShardHead, head_key
from sardinetrack.once.segments import Segments, is_expired
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    StoredObject,
    UnavailableError,
    UncertainError,
)

MAX_HEAD_BYTES: Final = 65_536
_CONTENTION_THRESHOLD: Final = 0.25
_CONTENTION_DECAY: Final = 0.8
_MAX_ATTEMPTS: Final = 64
_HEADS: Final = JsonDecoder[ShardHead](ShardHead)


class ShardLog:
    """One shard of the log of claims, as this process has cached it.

    The head is written conditionally, so only one write can follow a version.
    The cache only saves reads: a write on a stale head fails.
    """

    def __init__(
        self,
        platform: Platform,
        shard: int,
        *,
        retention_seconds: float,
        max_head_bytes: int,
        wall_clock: Callable[[], float],
    ) -> None:
        """Start with an empty cache.

        :param shard: number of the shard.
        :param retention_seconds: how long a record is kept after the longest
            run of its request.
        :param max_head_bytes: a larger head has its records sealed.
        :param wall_clock: returns seconds since the epoch.
        """
        self._platform = platform
        self._shard = shard
        self._retention_seconds = retention_seconds
        self._max_head_bytes = max_head_bytes
        self._wall_clock = wall_clock
        self._segments = Segments(platform, shard)
        self._cached: CachedHead | None = None
        self._is_fresh = False
        self._foreign_fraction: float = 0
        self._uncertain_version: int | None = None

    async def commit(self, operations: Sequence[Operation]) -> HeadUpdate:
        """Write a batch.

        :return: the draft whose results are now valid.
        :raises PlatformError: the batch is not known to be written; after
            ``UncertainError`` it may be.
        """
        self._is_fresh = False
        if self._foreign_fraction > _CONTENTION_THRESHOLD:
            await self._refresh()
        for _ in range(_MAX_ATTEMPTS):
            cached = await self._current_head()
            draft = await self._draft(cached, operations)
            if not self._needs_write(draft):
                if self._is_fresh:
                    return draft
                # A claim must not be rejected because of a stale head.
                await self._refresh()
            elif await self._write(cached, draft):
                return draft
        raise UnavailableError('the head changed at each attempt to write it')

    async def _draft(
        self,
        cached: CachedHead,
        operations: Sequence[Operation],
    ) -> HeadUpdate:
        now = self._wall_clock()
        sealed_keys = {
            operation.key
            for operation in operations
            if _needs_sealed(operation, cached, now)
        }
        sealed = await self._segments.find(
            cached.head.segments, sealed_keys, now
        )
        draft = HeadUpdate(cached, sealed, now, self._retention_seconds)
        draft.apply(operations)
        return draft

    def _needs_write(self, draft: HeadUpdate) -> bool:
        # A write whose response was lost may still be on its way. Another
        # write at its version, even without changes, keeps it from taking
        # effect after its claims were reported as "not claimed".
        return (
            bool(draft.changed_records) or self._uncertain_version is not None
        )

    async def _current_head(self) -> CachedHead:
        if self._cached is None:
            await self._refresh()
        assert self._cached is not None
        return self._cached

    async def _refresh(self) -> None:
        self._update_cached(await self._platform.get(head_key(self._shard)))

    def _update_cached(self, stored: StoredObject | None) -> None:
        version = stored.version if stored else 0
        self._is_fresh = True
        if self._uncertain_version not in {None, version}:
            self._uncertain_version = None
        if self._cached is None or self._cached.version != version:
            if self._cached is not None:
                self._record_foreign(1)
            head = _decode_head(stored)
            self._cached = CachedHead.build(version, head)
        else:
            self._record_foreign(0)

    def _record_foreign(self, seen: int) -> None:
        decayed = self._foreign_fraction * _CONTENTION_DECAY
        self._foreign_fraction = decayed + seen * (1 - _CONTENTION_DECAY)

    async def _write(self, cached: CachedHead, draft: HeadUpdate) -> bool:
        """Try to write the head that follows a cached one.

        :return: whether it was written; if not, a newer head is cached.
        """
        expired = await self._remove_expired(cached)
        remaining = tuple(
            listed for listed in cached.head.segments if listed not in expired
        )
        head = msgspec.structs.replace(
            cached.head,
            segments=remaining,
            records=draft.merged_records(),
        )
        if len(encode_head(head)) > self._max_head_bytes and cached.records:
            head = await self._seal_head(cached, draft, remaining)
        return await self._put(cached, head)

    async def _put(self, cached: CachedHead, head: ShardHead) -> bool:
        try:
            stored = await self._platform.put(
                head_key(self._shard),
                encode_head(head),
                expected_version=cached.version,
            )
        except ConflictError as error:
            self._update_cached(error.current)
            return False
        except UncertainError:
            self._uncertain_version = cached.version
            self._cached = None
            raise
        if not self._is_fresh:
            self._record_foreign(0)
        self._uncertain_version = None
        self._cached = CachedHead.build(stored.version, head)
        return True

    async def _seal_head(
        self,
        cached: CachedHead,
        draft: HeadUpdate,
        remaining: tuple[Segment, ...],
    ) -> ShardHead:
        number = cached.head.next_segment
        records = cached.head.records
        segment = await self._segments.seal(number, records)
        if segment is None:
            # Another writer stopped after it wrote the segment and before it
            # wrote the head that lists it. The orphan is listed as expired, so
            # that it is deleted like any other.
            version = await self._segments.version_of(number)
            orphan = Segment(number, version, 0)
            return ShardHead(
                number + 1, (*remaining, orphan), draft.merged_records()
            )
        self._segments.add_index(segment, records)
        changed = tuple(draft.changed_records.values())
        return ShardHead(number + 1, (*remaining, segment), changed)

    async def _remove_expired(self, cached: CachedHead) -> tuple[Segment, ...]:
        now = self._wall_clock()
        expired = tuple(
            listed for listed in cached.head.segments if is_expired(listed, now)
        )
        for segment in expired:
            await self._segments.remove(segment)
        return expired


def _needs_sealed(operation: Operation, cached: CachedHead, now: float) -> bool:
    if operation.key in cached.records:
        # A release must know whether it exposes an older sealed record.
        return _is_release(operation)
    if isinstance(operation, EndOperation):
        return not is_definitely_valid(operation, now)
    return True


def _is_release(operation: Operation) -> bool:
    if isinstance(operation, ClaimOperation):
        return False
    return operation.state is ClaimState.FREE


def _decode_head(stored: StoredObject | None) -> ShardHead:
    if stored is None or stored.deleted:
        return ShardHead()
    try:
        return _HEADS.decode(stored.value)
    except UnreadableError as error:
        raise UnavailableError(f'unreadable head: {error}') from error
