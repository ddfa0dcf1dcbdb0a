"""A request that waits for, or acts on, routing decisions."""

from __future__ import annotations

from typing import Final

import anyio

from sardinetrack.routing.api import Dispatch, Reject, RoutedRequest

_DECISIONS: Final = 8


class PendingRequest:
    """Receives the routing decisions about one request and queues them."""

    def __init__(self, work: RoutedRequest) -> None:
        """Open the stream of decisions.

        :param work: the request as submitted to the routing policy.
        """
        self.work = work
        self._arrived_at = anyio.current_time()
        self.finished = False
        """Whether no further decision is expected."""
        self.dispatch: Dispatch | None = None
        """The latest dispatch, ``None`` before the first one."""
        streams = anyio.create_memory_object_stream[Dispatch | Reject](
            _DECISIONS,
        )
        self._sender = streams[0]
        self._receiver = streams[1]
        self._open_attempts: dict[str, Dispatch] = {}

    @property
    def running(self) -> bool:
        """Whether an attempt is in progress."""
        return bool(self._open_attempts)

    def deliver(self, decision: Dispatch | Reject) -> None:
        """Queue a decision for the request's task."""
        if isinstance(decision, Dispatch):
            self._open_attempts[decision.attempt_id] = decision
            self.dispatch = decision
        else:
            self.finished = True
        self._sender.send_nowait(decision)

    def age_seconds(self) -> float:
        """Return the time since the request arrived."""
        return anyio.current_time() - self._arrived_at

    def close_attempt(self, dispatch: Dispatch) -> None:
        """Mark an attempt as ended."""
        self._open_attempts.pop(dispatch.attempt_id, None)

    def open_attempts(self) -> tuple[Dispatch, ...]:
        """Return the attempts that are not marked as ended."""
        return tuple(self._open_attempts.values())

    async def next_decision(self) -> Dispatch | Reject:
        """Wait for the next decision and return it."""
        return await self._receiver.receive()

    def close(self) -> None:
        """Close the stream of decisions."""
        self._sender.close()
        self._receiver.close()
