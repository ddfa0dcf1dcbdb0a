"""Which software began which stream; reads no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Self

from sardinetrack.topology.servers import BackendServer

STREAM_SECONDS: Final = 60.0
"""How long after its begin a stream may still be continued.

Callers wait up to 15 s for a complete stream, over all their requests.
"""
MAX_STREAMS: Final = 20_000
"""Streams that are remembered at most; 300 a second for a minute."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Pool and software version of the server that began a stream.

    What two versions generate does not fit together, and servers don't check
    it, so a stream continues at servers of its own version only.
    """

    pool: str
    version: str

    @classmethod
    def of(cls, server: BackendServer) -> Self:
        """Return the origin of a stream that a server begins."""
        return cls(server.pool, server.version)


class StreamOrigins:
    """Origins of recent streams, by the request that brought the first event.

    Times are on the boot clock.
    """

    def __init__(self) -> None:
        """Start without streams."""
        self._streams: dict[str, tuple[float, StreamOrigin]] = {}

    def __len__(self) -> int:
        """Count the streams that are remembered."""
        return len(self._streams)

    def record(self, now: float, request_id: str, origin: StreamOrigin) -> None:
        """Record what began a stream, unless that is known."""
        if self.find(now, request_id) is not None:
            return
        self._streams.pop(request_id, None)
        self._streams[request_id] = (now, origin)
        self._drop_oldest(now)

    def find(self, now: float, request_id: str) -> StreamOrigin | None:
        """Return what began a stream; ``None`` if it is not remembered."""
        began, origin = self._streams.get(request_id, (-STREAM_SECONDS, None))
        return origin if now - began < STREAM_SECONDS else None

    def _drop_oldest(self, now: float) -> None:
        """Drop the oldest stream if it is too old or one too many.

        One is enough: each call adds one at most.
        """
        oldest = next(iter(self._streams))
        expired = now - self._streams[oldest][0] >= STREAM_SECONDS
        if expired or len(self._streams) > MAX_STREAMS:
            self._streams.pop(oldest)
