"""The stored form of a lease."""

from __future__ import annotations

from typing import Final

import msgspec

LEASE_PREFIX: Final = 'leases/'


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as it stands in the platform.

    It names a duration and no time: clocks of different hosts are never
    compared. The version of the object is the fencing number.
    """

    holder: str
    """Instance and incarnation of the side that holds it."""
    term: int
    """Counts the acquisitions."""
    duration_seconds: float


def lease_key(pool: str, backend_server: str) -> str:
    """Name the lease object of a backend server."""
    return f'{LEASE_PREFIX}{pool}/{backend_server}'


def write_lease(record: LeaseRecord) -> bytes:
    """Encode a lease."""
    return msgspec.json.encode(record)


def read_lease(text: bytes) -> LeaseRecord | None:
    """Decode a lease; ``None`` when it is none."""
    try:
        return msgspec.json.decode(text, type=LeaseRecord)
    except msgspec.DecodeError:
        return None
