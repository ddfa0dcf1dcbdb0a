"""The stored form of claims: records, and the head of a shard's log."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import Final

import msgspec

CLAIM_PREFIX: Final = 'once/'
LAYOUT_KEY: Final = 'once/layout'
_DIGEST_CHARACTERS: Final = 32


class ClaimState(StrEnum):
    """What the record says about the request."""

    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    FREE = 'free'
    """Released; hides an older record of the key in a sealed segment."""


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claim; times are whole seconds since the epoch."""

    key: str
    state: ClaimState
    attempt_id: str
    request_hash: str
    settled_at_seconds: int
    """Nothing runs under this claim any longer after this time."""
    expires_at_seconds: int
    """The key is free again after this time."""


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A sealed part of a shard's log; it never changes."""

    number: int
    object_version: int
    expires_at_seconds: int
    """No record in it is of use after this time."""


class Head(msgspec.Struct, frozen=True):
    """The open part of a shard's log; every claim passes through it."""

    next_segment: int = 1
    segments: tuple[Segment, ...] = ()
    """Oldest first."""
    records: tuple[ClaimRecord, ...] = ()
    """Newer than all that is sealed; one for each key."""


class Layout(msgspec.Struct, frozen=True):
    """How the keys are spread over shards, fixed by the first entry.

    Were it a setting of each process, two entries that disagree would claim
    the same key in two places, and both would run the request.
    """

    shards: int


def digest_key(workspace: str, key: str) -> str:
    """Name a key; keys of different workspaces never meet.

    :param key: the caller's idempotency key.
    """
    named = f'{len(workspace)}:{workspace}{key}'
    return hashlib.sha256(named.encode()).hexdigest()[:_DIGEST_CHARACTERS]


def short_hash(request_hash: str) -> str:
    """Cut the hash of a request to what tells two requests apart."""
    return request_hash[:_DIGEST_CHARACTERS]


def head_key(shard: int) -> str:
    """Name the object that holds a shard's head."""
    return f'{CLAIM_PREFIX}{shard}/head'


def segment_key(shard: int, number: int) -> str:
    """Name the object that holds a sealed segment."""
    return f'{CLAIM_PREFIX}{shard}/segment/{number}'
