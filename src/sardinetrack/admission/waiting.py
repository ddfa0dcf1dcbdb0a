"""Queue of requests that wait for an engine, one a workspace."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from sardinetrack.admission.request import AdmissionRequest


@dataclass(slots=True)
class WaitingRequest:
    """A request in the queue."""

    request: AdmissionRequest
    queued_seconds: float
    """When it was queued, on the monotonic clock."""
    until_seconds: float
    """When its maximum wait is over."""


class WaitQueue:
    """Queues of all workspaces; doesn't decide which workspace is next.

    Of one workspace, requests that can still be in time go before those that
    are late already. Under overload some have to be late; were both served in
    the order of arrival, those that wait behind late ones would be late too.
    """

    def __init__(self) -> None:
        self._queues: dict[str, deque[WaitingRequest]] = {}

    def __len__(self) -> int:
        """Count the requests."""
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over all requests."""
        for queue in self._queues.values():
            yield from queue

    @property
    def workspaces(self) -> Collection[str]:
        """Workspaces with at least one request."""
        return self._queues.keys()

    @property
    def tokens(self) -> int:
        """Prompt tokens to prefill for all requests."""
        return tokens_of(self)

    def of(self, workspace: str) -> Collection[WaitingRequest]:
        """List the requests of one workspace."""
        return self._queues.get(workspace, ())

    def first(self, workspace: str) -> AdmissionRequest:
        """Return the next request of a workspace that waits."""
        return self._queues[workspace][0].request

    def before(self, request: AdmissionRequest) -> list[WaitingRequest]:
        """List the requests of its workspace that go before a request."""
        return [
            one
            for one in self.of(request.workspace)
            if request.is_past_objective or not one.request.is_past_objective
        ]

    def put(self, one: WaitingRequest) -> None:
        """Queue a request behind those of its workspace that go first."""
        queue = self._queues.setdefault(one.request.workspace, deque())
        queue.insert(len(self.before(one.request)), one)

    def take_first(self, workspace: str) -> AdmissionRequest:
        """Remove and return the next request of a workspace."""
        one = self._queues[workspace].popleft()
        self._drop_empty(workspace)
        return one.request

    def remove(self, permit_id: str) -> bool:
        """Remove one request.

        :return: whether it was queued.
        """
        for one in self:
            if one.request.permit_id == permit_id:
                self._queues[one.request.workspace].remove(one)
                self._drop_empty(one.request.workspace)
                return True
        return False

    def take_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose maximum wait is over."""
        expired = [one for one in self if one.until_seconds <= now]
        for one in expired:
            self._queues[one.request.workspace].remove(one)
            self._drop_empty(one.request.workspace)
        return expired

    def _drop_empty(self, workspace: str) -> None:
        if not self._queues[workspace]:
            self._queues.pop(workspace)


def tokens_of(waiting: Iterable[WaitingRequest]) -> int:
    """Return the prompt tokens to prefill for some requests."""
    return sum(one.request.prefill_tokens for one in waiting)
