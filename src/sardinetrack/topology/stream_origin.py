"""The software that began a stream; reads no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from sardinetrack.topology.servers import BackendServer


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
