"""Waiting work of one pool at one entry."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from sardinetrack.errors.api import ErrorKind
from sardinetrack.routing.api import HoldReason, Work

_WINDOW: Final = 4
"""How far a request may be passed by one whose prefix is cached."""
_GAIN: Final = 0.2
_FIRST_INTERVAL_SECONDS: Final = 1.0


@dataclass(slots=True)
class Waiting:
    """One request that waits, or runs, with what was tried."""

    work: Work
    since_seconds: float
    attempts: int = 0
    avoid: frozenset[str] = frozenset()
    """Sides that failed it."""
    strike: int = 0
    """Number of the last strike told of it; 0 for none."""
    refusals: int = 0
    """In a row, while it was suspected of a crash."""
    closed_until: dict[str, float] = field(default_factory=dict)
    """Sides that refused it while it was suspected, and until when."""
    ran: ErrorKind | None = None
    """What an earlier attempt that may have run amounts to."""
    queued_seconds: float = 0
    """When it was last put in line."""
    told_hold: HoldReason | None = None
    """Why it waits, as last told."""


def _always(waiting: Waiting) -> bool:
    return True


@dataclass(slots=True)
class _Line:
    waiting: deque[Waiting] = field(default_factory=deque)
    interval_seconds: float = _FIRST_INTERVAL_SECONDS
    taken_seconds: float | None = None


class WorkQueue:
    """First-in-first-out lines, one for each workspace."""

    def __init__(self) -> None:
        """Start empty."""
        self._lines: dict[str, _Line] = {}
        self._workspaces: dict[str, str] = {}
        self._earliest_seconds = math.inf
        """No deadline passes before; may be too early, never too late."""

    def __len__(self) -> int:
        """Count all waiting requests."""
        return len(self._workspaces)

    def workspaces(self) -> Iterable[str]:
        """List the workspaces with waiting work."""
        return [name for name, line in self._lines.items() if line.waiting]

    def waiting(self, workspace: str) -> int:
        """Count the waiting requests of a workspace."""
        line = self._lines.get(workspace)
        return len(line.waiting) if line else 0

    def put(self, waiting: Waiting, *, first: bool = False) -> None:
        """Add a request.

        :param waiting: the request.
        :param first: it waited before and goes to the head.
        """
        work = waiting.work
        line = self._lines.setdefault(work.workspace, _Line())
        self._workspaces[work.request_id] = work.workspace
        self._earliest_seconds = min(
            self._earliest_seconds,
            work.deadline_seconds,
        )
        if first:
            line.waiting.appendleft(waiting)
        else:
            line.waiting.append(waiting)

    def head(self, workspace: str) -> Waiting:
        """Look at the request that is first in line."""
        return self._lines[workspace].waiting[0]

    def line(self, workspace: str) -> Iterable[Waiting]:
        """Look at the requests of a workspace, first in line first."""
        return self._lines[workspace].waiting

    def take(
        self,
        now: float,
        waiting: Waiting,
        warm: Collection[int] = (),
        may_pass: Callable[[Waiting], bool] = _always,
    ) -> Waiting:
        """Take the next request.

        :param now: monotonic time.
        :param waiting: the one whose turn it is.
        :param warm: prefixes for which one may pass a few others.
        :param may_pass: whether a request may go now.
        :return: it, or a near one with a warm prefix.
        """
        line = self._lines[waiting.work.workspace]
        for near in islice(line.waiting, _WINDOW):
            if near.work.affinity in warm and may_pass(near):
                waiting = near
                break
        line.waiting.remove(waiting)
        self._workspaces.pop(waiting.work.request_id)
        self._learn(now, line)
        return waiting

    def remove(self, request_id: str) -> Waiting | None:
        """Take out one request by its id."""
        workspace = self._workspaces.pop(request_id, None)
        if workspace is None:
            return None
        line = self._lines[workspace].waiting
        waiting = next(one for one in line if one.work.request_id == request_id)
        line.remove(waiting)
        return waiting

    def drained_seconds(self, workspace: str) -> float:
        """Tell when the line will have drained at its present rate."""
        line = self._lines.get(workspace)
        if line is None:
            return 0
        return len(line.waiting) * line.interval_seconds

    def overdue(self, now: float) -> list[Waiting]:
        """Take out the requests whose deadline has passed."""
        if now < self._earliest_seconds:
            return []
        overdue = [
            waiting
            for waiting in self._all()
            if waiting.work.deadline_seconds <= now
        ]
        for late in overdue:
            self.remove(late.work.request_id)
        left = [waiting.work.deadline_seconds for waiting in self._all()]
        self._earliest_seconds = min(left, default=math.inf)
        return overdue

    def clear(self) -> list[Waiting]:
        """Take out everything."""
        waiting = list(self._all())
        self._lines.clear()
        self._workspaces.clear()
        return waiting

    def _all(self) -> Iterator[Waiting]:
        for line in self._lines.values():
            yield from line.waiting

    def _learn(self, now: float, line: _Line) -> None:
        if line.taken_seconds is not None and line.waiting:
            interval_seconds = now - line.taken_seconds
            line.interval_seconds += _GAIN * (
                interval_seconds - line.interval_seconds
            )
        line.taken_seconds = now
