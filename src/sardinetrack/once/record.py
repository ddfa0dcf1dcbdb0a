"""The stored form of claims: records, segments and head of a shard's log."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import Final

import msgspec

CLAIM_PREFIX: Final = 'once/'
LAYOUT_KEY: Final = 'once/layout'
_DIGEST_CHARACTERS: Final = 32


class ClaimState(StrEnum):
    """State of the request that a record is about."""

    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    FREE = 'free'
    """Released; supersedes an older record of the key in a sealed segment."""


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claim; times are whole seconds since the epoch."""

    key: str
    state: ClaimState
    attempt_id: str
    request_hash: str
    settled_at_seconds: int
    """After this time the claimed request no longer runs."""
    expires_at_seconds: int
    """After this time the key is free again."""


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """An immutable part of a shard's log, as the head lists it."""

    number: int
    object_version: int
    expires_at_seconds: int
    """After this time all its records have expired."""


class ShardHead(msgspec.Struct, frozen=True):
    """The mutable part of a shard's log; every claim passes through it."""

    next_segment: int = 1
    segments: tuple[Segment, ...] = ()
    """Oldest first."""
    records: tuple[ClaimRecord, ...] = ()
    """Newer than all sealed records; one for each key."""


class Layout(msgspec.Struct, frozen=True):
    """How the keys are distributed over shards, fixed by the first entry.

    If it were a setting of each process, two entries that disagree would claim
    the same key in two shards, and both would run the request.
    """

    shards: int


def digest_key(workspace: str, key: str) -> str:
    """Return the digest of a key; it differs between workspaces.

    :param key: the caller's idempotency key.
    """
    named = f'{len(workspace)}:{workspace}{key}'
    return hashlib.sha256(named.encode()).hexdigest()[:_DIGEST_CHARACTERS]


def shorten_hash(request_hash: str) -> str:
    """Shorten the hash of a request; two requests still differ in it."""
    return request_hash[:_DIGEST_CHARACTERS]


def head_key(shard: int) -> str:
    """Return the key of the object that holds a shard's head."""
    return f'{CLAIM_PREFIX}{shard}/head'


def segment_key(shard: int, number: int) -> str:
    """Return the key of the object that holds a sealed segment."""
    return f'{CLAIM_PREFIX}{shard}/segment/{number}'
