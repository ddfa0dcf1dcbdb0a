"""Queues of one pool at one entry."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from sardinetrack.errors.api import ErrorKind
from sardinetrack.routing.api import RoutedRequest, WaitReason

_LOOKAHEAD: Final = 4
"""Requests at the front among which one with a cached prefix goes first."""
_SMOOTHING: Final = 0.2
_INITIAL_INTERVAL_SECONDS: Final = 1.0


@dataclass(slots=True)
class QueuedRequest:
    """A request that is queued or running, with its earlier attempts."""

    work: RoutedRequest
    submitted_seconds: float
    attempts: int = 0
    failed_sides: frozenset[str] = frozenset()
    """Sides at which it failed."""
    strike_number: int = 0
    """Number of the last strike sent for it; 0 for none."""
    suspect_refusals: int = 0
    """Refusals by sides while it was a suspect."""
    excluded_until: dict[str, float] = field(default_factory=dict)
    """Sides that refused it as a suspect, with the end of their exclusion."""
    previous_error: ErrorKind | None = None
    """Error of the last attempt that may have run."""
    queued_seconds: float = 0
    """When it was last queued, in monotonic time."""
    reported_reason: WaitReason | None = None
    """Why it waits, as last reported."""


def _always(queued: QueuedRequest) -> bool:
    return True


@dataclass(slots=True)
class _WorkspaceQueue:
    pending: deque[QueuedRequest] = field(default_factory=deque)
    interval_seconds: float = _INITIAL_INTERVAL_SECONDS
    dequeued_seconds: float | None = None


class RequestQueues:
    """First-in-first-out queues, one for each workspace."""

    def __init__(self) -> None:
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._workspaces: dict[str, str] = {}
        self._earliest_deadline_seconds = math.inf
        """Lower bound of the queued requests' deadlines; may be too early."""

    def __len__(self) -> int:
        """Count all queued requests."""
        return len(self._workspaces)

    def workspaces(self) -> Iterable[str]:
        """Return the workspaces with queued requests."""
        return [name for name, queue in self._queues.items() if queue.pending]

    def waiting(self, workspace: str) -> int:
        """Count the queued requests of a workspace."""
        queue = self._queues.get(workspace)
        return len(queue.pending) if queue else 0

    def put(self, queued: QueuedRequest, *, at_front: bool = False) -> None:
        """Add a request.

        :param queued: the request.
        :param at_front: it was queued before and goes to the front.
        """
        work = queued.work
        queue = self._queues.setdefault(work.workspace, _WorkspaceQueue())
        self._workspaces[work.request_id] = work.workspace
        self._earliest_deadline_seconds = min(
            self._earliest_deadline_seconds,
            work.deadline_seconds,
        )
        if at_front:
            queue.pending.appendleft(queued)
        else:
            queue.pending.append(queued)

    def head(self, workspace: str) -> QueuedRequest:
        """Return the first request without removing it."""
        return self._queues[workspace].pending[0]

    def requests(self, workspace: str) -> Iterable[QueuedRequest]:
        """Return the requests of a workspace in queue order."""
        return self._queues[workspace].pending

    def dequeue(
        self,
        now: float,
        queued: QueuedRequest,
        cached_prefixes: Collection[int] = (),
        may_run: Callable[[QueuedRequest], bool] = _always,
    ) -> QueuedRequest:
        """Remove and return the next request.

        :param now: monotonic time.
        :param queued: the request that is next.
        :param cached_prefixes: hashes of prefixes whose requests may overtake
            a few others.
        :param may_run: whether a request may run now.
        :return: that request, or one near the front with a cached prefix.
        """
        queue = self._queues[queued.work.workspace]
        for candidate in islice(queue.pending, _LOOKAHEAD):
            if candidate.work.affinity in cached_prefixes and may_run(
                candidate
            ):
                queued = candidate
                break
        queue.pending.remove(queued)
        self._workspaces.pop(queued.work.request_id)
        self._update_interval(now, queue)
        return queued

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove one request by its id."""
        workspace = self._workspaces.pop(request_id, None)
        if workspace is None:
            return None
        queue = self._queues[workspace].pending
        queued = next(one for one in queue if one.work.request_id == request_id)
        queue.remove(queued)
        return queued

    def seconds_to_drain(self, workspace: str) -> float:
        """Return how long the queue takes to drain at its current rate."""
        queue = self._queues.get(workspace)
        if queue is None:
            return 0
        return len(queue.pending) * queue.interval_seconds

    def overdue(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        if now < self._earliest_deadline_seconds:
            return []
        overdue = [
            queued
            for queued in self._all_requests()
            if queued.work.deadline_seconds <= now
        ]
        for expired in overdue:
            self.remove(expired.work.request_id)
        deadlines = [
            queued.work.deadline_seconds for queued in self._all_requests()
        ]
        self._earliest_deadline_seconds = min(deadlines, default=math.inf)
        return overdue

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        removed = list(self._all_requests())
        self._queues.clear()
        self._workspaces.clear()
        return removed

    def _all_requests(self) -> Iterator[QueuedRequest]:
        for queue in self._queues.values():
            yield from queue.pending

    def _update_interval(self, now: float, queue: _WorkspaceQueue) -> None:
        if queue.dequeued_seconds is not None and queue.pending:
            interval_seconds = now - queue.dequeued_seconds
            queue.interval_seconds += _SMOOTHING * (
                interval_seconds - queue.interval_seconds
            )
        queue.dequeued_seconds = now
