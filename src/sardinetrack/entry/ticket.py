"""A waiting request's end of the routing decisions."""

from __future__ import annotations

from typing import Final

import anyio

from sardinetrack.routing.api import Dispatch, Reject, Work

_DECISIONS: Final = 8


class Ticket:
    """Receives the decisions about one request."""

    def __init__(self, work: Work) -> None:
        """Wait for the first decision."""
        self.work = work
        self._began = anyio.current_time()
        self.over = False
        """No further decision is awaited."""
        self.dispatch: Dispatch | None = None
        """The latest dispatch."""
        streams = anyio.create_memory_object_stream[Dispatch | Reject](
            _DECISIONS,
        )
        self._decided = streams[0]
        self._decisions = streams[1]
        self._open: dict[str, Dispatch] = {}

    @property
    def running(self) -> bool:
        """Whether an attempt is under way."""
        return bool(self._open)

    def decide(self, decision: Dispatch | Reject) -> None:
        """Take a decision; it waits here for the request's task."""
        if isinstance(decision, Dispatch):
            self._open[decision.attempt_id] = decision
            self.dispatch = decision
        else:
            self.over = True
        self._decided.send_nowait(decision)

    def age_seconds(self) -> float:
        """Tell how long ago the request arrived."""
        return anyio.current_time() - self._began

    def settled(self, dispatch: Dispatch) -> None:
        """Note that an attempt has ended."""
        self._open.pop(dispatch.attempt_id, None)

    def unsettled(self) -> tuple[Dispatch, ...]:
        """List the attempts that were never reported as ended."""
        return tuple(self._open.values())

    async def next(self) -> Dispatch | Reject:
        """Wait for the next decision."""
        return await self._decisions.receive()

    def close(self) -> None:
        """Release the stream."""
        self._decided.close()
        self._decisions.close()
