"""Decides what a batch of operations does to a shard's head; no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from sardinetrack.entry.claims import (
    AlreadyFinished,
    AlreadyRunning,
    ClaimAnswer,
    Claimed,
    ClaimRequest,
    Mismatch,
    OutcomeLost,
)
from sardinetrack.once.operations import (
    ClaimOperation,
    EndOperation,
    Operation,
)
from sardinetrack.once.record import (
    ClaimRecord,
    ClaimState,
    Head,
    digest_key,
    short_hash,
)

CLOCK_SKEW_SECONDS: Final = 60
"""Entries' clocks differ by less; records are dropped that much later."""


@dataclass(frozen=True, slots=True)
class KnownHead:
    """A head as it stood in the platform at a version."""

    version: int
    head: Head
    records: Mapping[str, ClaimRecord]

    @classmethod
    def build(cls, version: int, head: Head) -> KnownHead:
        """Index a head by key."""
        by_key = {record.key: record for record in head.records}
        return cls(version, head, by_key)


class Draft:
    """Operations applied to one head, not written yet."""

    def __init__(
        self,
        known: KnownHead,
        sealed: Mapping[str, ClaimRecord],
        now: float,
        keep_seconds: float,
    ) -> None:
        """Start from what stands.

        :param sealed: newest sealed records of the operations' keys.
        :param now: seconds since the epoch.
        """
        self.answers: dict[ClaimOperation, ClaimAnswer] = {}
        self.changes: dict[str, ClaimRecord] = {}
        self._known = known
        self._sealed = sealed
        self._now = now
        self._keep_seconds = keep_seconds

    def apply(self, operations: Iterable[Operation]) -> None:
        """Apply operations in their order."""
        for operation in operations:
            if isinstance(operation, ClaimOperation):
                self.answers[operation] = self._claim(operation)
            else:
                self._end(operation)

    def merged(self) -> tuple[ClaimRecord, ...]:
        """Collect the records of a head that holds old and new ones."""
        merged = {**self._known.records, **self.changes}
        return tuple(
            record for record in merged.values() if not self._useless(record)
        )

    def _useless(self, record: ClaimRecord) -> bool:
        if record.expires_at_seconds + CLOCK_SKEW_SECONDS < self._now:
            return True
        if record.state is not ClaimState.FREE:
            return False
        released_now = self.changes.get(record.key) is record
        was_open = record.key in self._known.records
        return released_now and was_open and record.key not in self._sealed

    def _find(self, key: str) -> ClaimRecord | None:
        for records in (self.changes, self._known.records, self._sealed):
            record = records.get(key)
            if record is not None:
                return record
        return None

    def _claim(self, operation: ClaimOperation) -> ClaimAnswer:
        request = operation.request
        key = operation.key
        record = self._find(key)
        if record is None or self._is_free(record):
            record = self._record(request, ClaimState.RUNNING)
            self.changes[key] = record
        if record.attempt_id == request.attempt_id:
            return _own(request, record)
        if record.request_hash != short_hash(request.request_hash):
            return Mismatch()
        return _standing(record, self._now)

    def _end(self, operation: EndOperation) -> None:
        request = operation.request
        record = self._find(operation.key)
        if record is None:
            # Its claim is sealed. While it stands nobody else can have
            # claimed the key, so the segment need not be read again.
            stands = surely_stands(operation, self._now)
        else:
            own = record.attempt_id == request.attempt_id
            stands = own and record.state is ClaimState.RUNNING
        if stands:
            ended = self._record(request, operation.state)
            self.changes[operation.key] = ended

    def _is_free(self, record: ClaimRecord) -> bool:
        if record.state is ClaimState.FREE:
            return True
        return self._now > record.expires_at_seconds

    def _record(self, request: ClaimRequest, state: ClaimState) -> ClaimRecord:
        settled_at = self._now + request.settled_within_seconds
        return ClaimRecord(
            digest_key(request.workspace, request.key),
            state,
            request.attempt_id,
            short_hash(request.request_hash),
            int(settled_at),
            int(settled_at + self._keep_seconds),
        )


def surely_stands(operation: EndOperation, now: float) -> bool:
    """Tell whether the claim that an operation ends stands by any clock."""
    return now + CLOCK_SKEW_SECONDS < operation.valid_until_seconds


def encode_head(head: Head) -> bytes:
    """Encode a head as the platform holds it."""
    return msgspec.json.encode(head)


def _own(request: ClaimRequest, record: ClaimRecord) -> ClaimAnswer:
    # One's own claim may stand already: the reply of its write was lost.
    if record.state is ClaimState.RUNNING:
        return Claimed(request, record.expires_at_seconds)
    return OutcomeLost()


def _standing(record: ClaimRecord, now: float) -> ClaimAnswer:
    if record.state is ClaimState.FINISHED:
        return AlreadyFinished()
    if record.state is ClaimState.UNKNOWN or now > record.settled_at_seconds:
        return OutcomeLost()
    return AlreadyRunning()
