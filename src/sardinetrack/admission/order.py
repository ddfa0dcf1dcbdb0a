"""Which workspace is next at an engine: the one with the least service."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.request import AdmissionRequest
from sardinetrack.admission.waiting import WaitQueue, tokens_of
from sardinetrack.fairness.decaying_service import FleetService, decay
from sardinetrack.fairness.shortage import BREAK_SECONDS, Shortage

JOIN_FRACTION: Final = 0.9
"""A workspace that joins starts from this fraction of the largest service
received among those that wait.

The rest is its head start: a lone pilot still goes first, and a workspace that
was really passed over gets back a tenth. Service decays with a time constant of
5.8 s, so a workspace that had the engine to itself pauses for
5.8 s * ln(1 + N / 10) before N newcomers: 0.55 s before one, 1.9 s before four.
With three quarters it is 1.3 s before one, and longer where the newcomer's
entries are many and their reports late.
"""


@dataclass(frozen=True, slots=True)
class QueuedAhead:
    """What goes to the engine before a request."""

    tokens: float
    """Prompt tokens to prefill."""
    requests: int


@dataclass(frozen=True, slots=True)
class QueuedWorkspace:
    """What a side believes of a workspace that waits there."""

    workspace: str
    service_tokens: float
    """Service by which it is ordered, decayed."""
    lifted_tokens: float
    """The part of it that it has not received."""
    waiting: int
    """Its requests that wait."""


class ServiceOrder:
    """Orders waiting workspaces by the service received at all servers.

    Priorities don't count: a workspace that floods the fleet could use them to
    shut out all less urgent ones for as long as it likes.
    """

    def __init__(self, queue: WaitQueue) -> None:
        """Order the workspaces of a queue."""
        self._queue = queue
        self._service = FleetService()
        self._shortage = Shortage()
        self._highest_tokens = float(0)
        """Most service of a workspace that lately waited."""
        self._highest_seconds = -math.inf

    def update_served(
        self,
        now: float,
        entry: str,
        served: Iterable[tuple[str, float]],
    ) -> None:
        """Apply an entry's report of service received at all servers.

        :param served: workspaces and tokens.
        """
        for workspace, tokens in served:
            self._service.update(now, entry, workspace, tokens)

    def granted(self, now: float, request: AdmissionRequest) -> None:
        """Count the service of a granted request."""
        self._service.add(now, request.entry, request.workspace, request.cost)

    def join(self, now: float, workspace: str, short_seconds: float) -> None:
        """Let a workspace that starts to wait begin near those that wait.

        Service that another workspace received while no other requested any is
        not owed to the newcomer. Were the newcomer at zero, only it would be
        served until it had received as much, and the workspaces that used the
        idle engines before would starve for seconds. Newcomers of one moment
        start equal: were each a tenth below the last one, the eighth would
        start from less than half.

        A workspace whose requests are refused here is no newcomer, though none
        of them waits: what it did not receive meanwhile is owed to it. One that
        is refused elsewhere starts from what would be left of its lift if it
        had joined here at its first refusal.

        :param short_seconds: how long an entry has refused its requests.
        """
        if self._queue.of(workspace) or self._is_refused(now, workspace):
            return
        waiting = [
            self._service.tokens(now, name) for name in self._queue.workspaces
        ]
        if waiting:
            start = min(*waiting, JOIN_FRACTION * max(waiting))
            self._service.lift(
                now, workspace, start, start * decay(short_seconds)
            )

    def record_refusal(self, now: float, workspace: str) -> float:
        """Record that a request of a workspace was refused.

        :return: the workspace's service as a fraction of the most that any
            workspace has received that lately waited or was refused here.
        """
        self._shortage.record(now, workspace)
        tokens = self._service.tokens(now, workspace)
        self._update_highest(now, tokens)
        return tokens / max(1, self._highest_tokens)

    def _update_highest(self, now: float, refused_tokens: float) -> None:
        """Update it by those that wait, and by one that is refused.

        Where a workspace is owed so much that all others are refused
        immediately, only its own requests wait.
        """
        highest = max(
            (self._service.tokens(now, one) for one in self._queue.workspaces),
            default=refused_tokens,
        )
        highest = max(highest, refused_tokens)
        is_old = now - self._highest_seconds > BREAK_SECONDS
        if is_old or highest >= self._highest_tokens:
            self._highest_tokens = highest
            self._highest_seconds = now

    def _is_refused(self, now: float, workspace: str) -> bool:
        return self._shortage.seconds(now, workspace) > 0

    def queued(self, now: float, workspace: str) -> QueuedWorkspace:
        """Return what is believed of a workspace."""
        return QueuedWorkspace(
            workspace,
            self._service.tokens(now, workspace),
            self._service.lifted_tokens(now, workspace),
            len(self._queue.of(workspace)),
        )

    def next_workspace(self, now: float) -> str:
        """Return the waiting workspace with the least service received."""
        return min(
            self._queue.workspaces,
            key=lambda name: self._service.tokens(now, name),
        )

    def ahead_of(self, now: float, request: AdmissionRequest) -> QueuedAhead:
        """Return what goes before a request that arrives now.

        Requests of another workspace go first until its service reaches that
        of this workspace at the time of this request's permit.
        """
        own = self._queue.before(request)
        own_cost = sum(one.request.cost for one in own)
        level = self._service.tokens(now, request.workspace) + own_cost
        tokens: float = tokens_of(own)
        requests = len(own)
        for workspace in self._queue.workspaces:
            if workspace != request.workspace:
                ahead = self._until(now, workspace, level)
                tokens += ahead.tokens
                requests += ahead.requests
        return QueuedAhead(tokens, requests)

    def _until(self, now: float, workspace: str, level: float) -> QueuedAhead:
        """Return the requests that take a workspace's service to a level."""
        service = self._service.tokens(now, workspace)
        tokens = 0
        requests = 0
        for one in self._queue.of(workspace):
            if service >= level:
                break
            service += one.request.cost
            tokens += one.request.prefill_tokens
            requests += 1
        return QueuedAhead(tokens, requests)
