"""The log of one shard in the platform: read it, write a batch into it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from sardinetrack.once.draft import Draft, KnownHead, encode_head, surely_stands
from sardinetrack.once.operations import (
    ClaimOperation,
    EndOperation,
    Operation,
)
from sardinetrack.once.record import ClaimState, Head, Segment, head_key
from sardinetrack.once.segments import Segments, is_over
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    StoredObject,
    UnavailableError,
    UncertainError,
)

HEAD_BYTES: Final = 65_536
_CONTENDED: Final = 0.25
_MEMORY: Final = 0.8
_TRIES: Final = 64


class ShardLog:
    """One shard of the record of claims, as this process knows it.

    Whoever writes the head at a version decides what follows that version.
    What is cached here only saves reads: a stale head fails the write.
    """

    def __init__(
        self,
        platform: Platform,
        shard: int,
        *,
        keep_seconds: float,
        head_bytes: int,
        wall_clock: Callable[[], float],
    ) -> None:
        """Know nothing yet."""
        self._platform = platform
        self._shard = shard
        self._keep_seconds = keep_seconds
        self._head_bytes = head_bytes
        self._wall_clock = wall_clock
        self._segments = Segments(platform, shard)
        self._known: KnownHead | None = None
        self._fresh = False
        self._foreign_share: float = 0
        self._uncertain_version: int | None = None

    async def commit(self, operations: Sequence[Operation]) -> Draft:
        """Write a batch.

        :return: the draft whose answers now hold.
        :raises PlatformError: nothing is known to be written; after
            ``UncertainError`` something may be.
        """
        self._fresh = False
        if self._foreign_share > _CONTENDED:
            await self._refresh()
        for _ in range(_TRIES):
            known = await self._head()
            draft = await self._draft(known, operations)
            if not self._needs_write(draft):
                if self._fresh:
                    return draft
                # A refusal must not rest on what stood there some time ago.
                await self._refresh()
            elif await self._write(known, draft):
                return draft
        raise UnavailableError('the head kept changing')

    async def _draft(
        self,
        known: KnownHead,
        operations: Sequence[Operation],
    ) -> Draft:
        now = self._wall_clock()
        asked = {
            operation.key
            for operation in operations
            if _asks_sealed(operation, known, now)
        }
        sealed = await self._segments.find(known.head.segments, asked, now)
        draft = Draft(known, sealed, now, self._keep_seconds)
        draft.apply(operations)
        return draft

    def _needs_write(self, draft: Draft) -> bool:
        # A write whose reply was lost may still be on its way. Another write
        # at its version, even of nothing new, keeps it from taking effect
        # after its claims were answered "not claimed".
        return bool(draft.changes) or self._uncertain_version is not None

    async def _head(self) -> KnownHead:
        if self._known is None:
            await self._refresh()
        assert self._known is not None
        return self._known

    async def _refresh(self) -> None:
        self._adopt(await self._platform.get(head_key(self._shard)))

    def _adopt(self, stored: StoredObject | None) -> None:
        version = stored.version if stored else 0
        self._fresh = True
        if self._uncertain_version not in {None, version}:
            self._uncertain_version = None
        if self._known is None or self._known.version != version:
            if self._known is not None:
                self._note_foreign(1)
            head = _head_of(stored)
            self._known = KnownHead.build(version, head)
        else:
            self._note_foreign(0)

    def _note_foreign(self, seen: int) -> None:
        kept = self._foreign_share * _MEMORY
        self._foreign_share = kept + seen * (1 - _MEMORY)

    async def _write(self, known: KnownHead, draft: Draft) -> bool:
        """Try to write the head that follows a known one.

        :return: whether it was written; if not, a newer head is known.
        """
        over = await self._remove_over(known)
        kept = tuple(row for row in known.head.segments if row not in over)
        head = msgspec.structs.replace(
            known.head,
            segments=kept,
            records=draft.merged(),
        )
        if len(encode_head(head)) > self._head_bytes and known.records:
            head = await self._sealing(known, draft, kept)
        return await self._put(known, head)

    async def _put(self, known: KnownHead, head: Head) -> bool:
        try:
            stored = await self._platform.put(
                head_key(self._shard),
                encode_head(head),
                expected_version=known.version,
            )
        except ConflictError as error:
            self._adopt(error.current)
            return False
        except UncertainError:
            self._uncertain_version = known.version
            self._known = None
            raise
        if not self._fresh:
            self._note_foreign(0)
        self._uncertain_version = None
        self._known = KnownHead.build(stored.version, head)
        return True

    async def _sealing(
        self,
        known: KnownHead,
        draft: Draft,
        kept: tuple[Segment, ...],
    ) -> Head:
        number = known.head.next_segment
        records = known.head.records
        segment = await self._segments.seal(number, records)
        if segment is None:
            # Somebody stopped between the segment and the head that lists
            # it. Listed as long over, it is deleted like any other.
            version = await self._segments.version_of(number)
            left = Segment(number, version, 0)
            return Head(number + 1, (*kept, left), draft.merged())
        self._segments.sealed(segment, records)
        changed = tuple(draft.changes.values())
        return Head(number + 1, (*kept, segment), changed)

    async def _remove_over(self, known: KnownHead) -> tuple[Segment, ...]:
        now = self._wall_clock()
        over = tuple(row for row in known.head.segments if is_over(row, now))
        for segment in over:
            await self._segments.remove(segment)
        return over


def _asks_sealed(operation: Operation, known: KnownHead, now: float) -> bool:
    if operation.key in known.records:
        # A release must know whether it uncovers an older record of the key.
        return _is_release(operation)
    if isinstance(operation, EndOperation):
        return not surely_stands(operation, now)
    return True


def _is_release(operation: Operation) -> bool:
    if isinstance(operation, ClaimOperation):
        return False
    return operation.state is ClaimState.FREE


def _head_of(stored: StoredObject | None) -> Head:
    if stored is None or stored.deleted:
        return Head()
    try:
        return msgspec.json.decode(stored.value, type=Head)
    except msgspec.DecodeError as error:
        raise UnavailableError(f'unreadable head: {error}') from error
