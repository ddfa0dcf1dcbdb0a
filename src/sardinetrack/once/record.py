"""The stored form of a claim."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import Final

import msgspec

CLAIM_PREFIX: Final = 'once/'


class ClaimState(StrEnum):
    """What the record says about the request."""

    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


class ClaimRecord(msgspec.Struct, frozen=True):
    """One claim; times are seconds since the epoch."""

    state: ClaimState
    attempt_id: str
    request_hash: str
    settled_at_seconds: float
    """Nothing runs under this claim any longer after this time."""
    expires_at_seconds: float
    """The key is free again after this time."""


def claim_key(workspace: str, key: str) -> str:
    """Name the object of a key.

    :param workspace: keys of different workspaces never meet.
    :param key: the caller's idempotency key.
    :return: the object's key in the platform.
    """
    named = f'{len(workspace)}:{workspace}{key}'
    return CLAIM_PREFIX + hashlib.sha256(named.encode()).hexdigest()


def write_record(record: ClaimRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record)


def read_record(text: bytes) -> ClaimRecord | None:
    """Decode a record; ``None`` when it is none."""
    try:
        return msgspec.json.decode(text, type=ClaimRecord)
    except msgspec.DecodeError:
        return None
