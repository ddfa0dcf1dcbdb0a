"""The stored form of a lease."""

from __future__ import annotations

from typing import Final

import msgspec

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError

LEASE_PREFIX: Final = 'leases/'


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as stored in the platform.

    It has a duration and no timestamp: clocks of different hosts are never
    compared. The version of the object is the fencing token.
    """

    holder: str
    """Instance and incarnation of the side that holds it."""
    term: int
    """Number of acquisitions so far."""
    duration_seconds: float


_RECORDS: Final = JsonDecoder[LeaseRecord](LeaseRecord)


def lease_key(pool: str, backend_server: str) -> str:
    """Return the key of a backend server's lease object."""
    return f'{LEASE_PREFIX}{pool}/{backend_server}'


def write_lease(record: LeaseRecord) -> bytes:
    """Encode a lease."""
    return msgspec.json.encode(record)


def read_lease(text: bytes) -> LeaseRecord | None:
    """Decode a lease; ``None`` when the text is not a valid lease."""
    try:
        return _RECORDS.decode(text)
    except UnreadableError:
        return None
