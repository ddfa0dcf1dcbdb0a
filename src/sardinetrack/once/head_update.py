"""Applies a batch of operations to a shard's head; no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from sardinetrack.entry.claims import (
    AlreadyFinished,
    AlreadyRunning,
    Claimed,
    ClaimRequest,
    ClaimResult,
    OutcomeUnknown,
    RequestMismatch,
)
from sardinetrack.once.operations import (
    ClaimOperation,
    EndOperation,
    Operation,
)
from sardinetrack.once.record import (
    ClaimRecord,
    ClaimState,
    ShardHead,
    digest_key,
    shorten_hash,
)

CLOCK_SKEW_SECONDS: Final = 60
"""Entries' clocks differ by less; records are removed this much later."""


@dataclass(frozen=True, slots=True)
class CachedHead:
    """A head as it was stored at a version."""

    version: int
    head: ShardHead
    records: Mapping[str, ClaimRecord]

    @classmethod
    def build(cls, version: int, head: ShardHead) -> CachedHead:
        """Index the records of a head by key."""
        by_key = {record.key: record for record in head.records}
        return cls(version, head, by_key)


class HeadUpdate:
    """The result of operations on one head, not written yet."""

    def __init__(
        self,
        cached: CachedHead,
        sealed: Mapping[str, ClaimRecord],
        now: float,
        retention_seconds: float,
    ) -> None:
        """Start from a head.

        :param cached: the head to which operations are applied.
        :param sealed: newest sealed records of the operations' keys.
        :param now: seconds since the epoch.
        :param retention_seconds: how long a record is kept after the longest
            run of its request.
        """
        self.results: dict[ClaimOperation, ClaimResult] = {}
        self.changed_records: dict[str, ClaimRecord] = {}
        self._cached = cached
        self._sealed = sealed
        self._now = now
        self._retention_seconds = retention_seconds

    def apply(self, operations: Iterable[Operation]) -> None:
        """Apply operations in order."""
        for operation in operations:
            if isinstance(operation, ClaimOperation):
                self.results[operation] = self._apply_claim(operation)
            else:
                self._apply_end(operation)

    def merged_records(self) -> tuple[ClaimRecord, ...]:
        """Return the records of a head with the old and the changed ones."""
        by_key = {**self._cached.records, **self.changed_records}
        return tuple(
            record
            for record in by_key.values()
            if not self._is_removable(record)
        )

    def _is_removable(self, record: ClaimRecord) -> bool:
        if record.expires_at_seconds + CLOCK_SKEW_SECONDS < self._now:
            return True
        if record.state is not ClaimState.FREE:
            return False
        released_now = self.changed_records.get(record.key) is record
        was_open = record.key in self._cached.records
        return released_now and was_open and record.key not in self._sealed

    def _find(self, key: str) -> ClaimRecord | None:
        for records in (
            self.changed_records,
            self._cached.records,
            self._sealed,
        ):
            record = records.get(key)
            if record is not None:
                return record
        return None

    def _apply_claim(self, operation: ClaimOperation) -> ClaimResult:
        request = operation.request
        key = operation.key
        record = self._find(key)
        if record is None or self._is_free(record):
            record = self._build_record(request, ClaimState.RUNNING)
            self.changed_records[key] = record
        if record.attempt_id == request.attempt_id:
            return _own_result(request, record)
        if record.request_hash != shorten_hash(request.request_hash):
            return RequestMismatch()
        return _existing_result(record, self._now)

    def _apply_end(self, operation: EndOperation) -> None:
        request = operation.request
        record = self._find(operation.key)
        if record is None:
            # The claim is sealed. While it is valid no other attempt can have
            # claimed the key, so the segment need not be read again.
            valid = is_definitely_valid(operation, self._now)
        else:
            is_own = record.attempt_id == request.attempt_id
            valid = is_own and record.state is ClaimState.RUNNING
        if valid:
            ended = self._build_record(request, operation.state)
            self.changed_records[operation.key] = ended

    def _is_free(self, record: ClaimRecord) -> bool:
        if record.state is ClaimState.FREE:
            return True
        return self._now > record.expires_at_seconds

    def _build_record(
        self, request: ClaimRequest, state: ClaimState
    ) -> ClaimRecord:
        settled_at = self._now + request.settled_within_seconds
        return ClaimRecord(
            digest_key(request.workspace, request.key),
            state,
            request.attempt_id,
            shorten_hash(request.request_hash),
            int(settled_at),
            int(settled_at + self._retention_seconds),
        )


def is_definitely_valid(operation: EndOperation, now: float) -> bool:
    """Return whether an operation's claim is valid by every entry's clock."""
    return now + CLOCK_SKEW_SECONDS < operation.valid_until_seconds


def encode_head(head: ShardHead) -> bytes:
    """Encode a head as the store holds it."""
    return msgspec.json.encode(head)


def _own_result(request: ClaimRequest, record: ClaimRecord) -> ClaimResult:
    # The attempt's own claim is stored already if the response to its write
    # was lost.
    if record.state is ClaimState.RUNNING:
        return Claimed(request, record.expires_at_seconds)
    return OutcomeUnknown()


def _existing_result(record: ClaimRecord, now: float) -> ClaimResult:
    if record.state is ClaimState.FINISHED:
        return AlreadyFinished()
    if record.state is ClaimState.UNKNOWN or now > record.settled_at_seconds:
        return OutcomeUnknown()
    return AlreadyRunning()
