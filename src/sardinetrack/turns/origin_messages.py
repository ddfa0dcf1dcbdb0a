"""Messages between an entry and a side about what began streams."""

from __future__ import annotations

import msgspec

from sardinetrack.topology.pool_versions import VersionAge


class StreamBegan(msgspec.Struct, tag='origin', array_like=True, frozen=True):
    """What began a stream, in case that nobody else can tell."""

    request_id: str
    """Of the request that brought its first event."""
    pool: str
    version: str


class FindOrigin(msgspec.Struct, tag='find', array_like=True, frozen=True):
    """Question of an entry about what began a stream."""

    request_id: str


class OriginFound(msgspec.Struct, tag='found', array_like=True, frozen=True):
    """Response to such a question."""

    request_id: str
    pool: str
    """Empty if the side doesn't know the stream."""
    version: str


class OriginsConfirmed(
    msgspec.Struct, tag='confirmed', array_like=True, frozen=True
):
    """Streams that have begun at the starts for which the entry took them.

    The engine has reported its start after their first events.
    """

    permit_ids: tuple[str, ...]


class VersionsListed(
    msgspec.Struct, tag='versions', array_like=True, frozen=True
):
    """Software versions that served the pools lately.

    A side sends them to each entry that connects, which shows the entry that
    it may ask for origins.
    """

    ages: tuple[VersionAge, ...]


OriginsFromEntry = StreamBegan | FindOrigin | VersionsListed
OriginsFromSide = OriginFound | OriginsConfirmed | VersionsListed
