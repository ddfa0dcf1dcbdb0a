"""Questions to sides about the software that began a stream."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from sardinetrack.topology.stream_origin import StreamOrigin


class OriginLookup:
    """One question to several sides; the first one that knows decides."""

    def __init__(self, asked: int) -> None:
        """Wait for responses.

        :param asked: number of sides that are asked.
        """
        loop = asyncio.get_running_loop()
        self.result: asyncio.Future[StreamOrigin | None] = loop.create_future()
        self.has_responses = False
        """Whether a side has responded; all lines that it had sent before have
        been read then."""
        self._missing = asked
        self._resolve_if_complete()

    def answered(self, origin: StreamOrigin | None) -> None:
        """Apply the response of one side; ``None`` if it doesn't know."""
        self.has_responses = True
        self._end_one(origin)

    def lost(self) -> None:
        """Expect no response of one side: it is disconnected."""
        self._end_one(None)

    def _end_one(self, origin: StreamOrigin | None) -> None:
        self._missing -= 1
        if origin is not None and not self.result.done():
            self.result.set_result(origin)
        self._resolve_if_complete()

    def _resolve_if_complete(self) -> None:
        if not self._missing and not self.result.done():
            self.result.set_result(None)


class PendingLookups:
    """The questions that one side has not responded to."""

    def __init__(self) -> None:
        """Start without questions."""
        self._lookups: defaultdict[str, list[OriginLookup]] = defaultdict(list)

    def add(self, request_id: str, lookup: OriginLookup) -> None:
        """Add a question about the stream that a request began."""
        self._lookups[request_id].append(lookup)

    def resolve(self, request_id: str, origin: StreamOrigin | None) -> None:
        """Apply the side's response."""
        for lookup in self._lookups.pop(request_id, ()):
            lookup.answered(origin)

    def give_up(self) -> None:
        """Resolve all questions: the side is disconnected."""
        for lookups in self._lookups.values():
            for lookup in lookups:
                lookup.lost()
        self._lookups.clear()
