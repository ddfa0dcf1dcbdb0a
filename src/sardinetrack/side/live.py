"""Attempts whose tasks still work on them, as the owner task knows them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.messages.run import RunOrder, RunResult
from sardinetrack.side.events import (
    Arrived,
    Left,
    Refused,
    Started,
    Stopped,
    Verdict,
)
from sardinetrack.side.log import DecisionLog
from sardinetrack.side.metrics import SideMetrics

_UNHEARD: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.WouldBlock,
)


@dataclass(slots=True)
class LiveAttempt:
    """An order between its arrival and the end of its task."""

    order: RunOrder
    verdicts: MemoryObjectSendStream[Verdict]
    started_at: float | None = None
    refused: bool = False

    @property
    def undecided(self) -> bool:
        """Neither started nor refused."""
        return self.started_at is None and not self.refused

    def give(self, verdict: Verdict) -> None:
        """Hand a verdict to the order's task."""
        try:
            self.verdicts.send_nowait(verdict)
        except _UNHEARD:
            # The task has left and its report is on the way, or it has not
            # read its verdicts yet and the last of them is a stop already.
            return


class LiveAttempts:
    """All live attempts by id."""

    def __init__(self, log: DecisionLog, metrics: SideMetrics) -> None:
        """Start empty."""
        self._log = log
        self._metrics = metrics
        self._attempts: dict[str, LiveAttempt] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt_id: str) -> LiveAttempt | None:
        """Find a live attempt."""
        return self._attempts.get(attempt_id)

    def add(self, arrived: Arrived) -> None:
        """Note a new order."""
        attempt = LiveAttempt(arrived.order, arrived.verdicts)
        self._attempts[arrived.order.attempt_id] = attempt

    def start(self, now: float, attempt_id: str, free: int) -> None:
        """Let the task hand the request to the backend server."""
        attempt = self._attempts[attempt_id]
        attempt.started_at = now
        attempt.give(Started(free))
        self._metrics.started.inc()
        order = attempt.order
        reason = f'grant {order.grant}' if order.grant else 'free slot'
        self._log.decided('start', order, reason)

    def refuse(self, attempt_id: str, run_result: RunResult) -> None:
        """Let the task answer that the request was not started."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None and attempt.undecided:
            attempt.refused = True
            self.refuse_order(attempt, run_result)

    def refuse_order(self, attempt: LiveAttempt, run_result: RunResult) -> None:
        """Refuse an order that may stand beside a live one of the same id."""
        attempt.give(Refused(run_result))
        self._metrics.refused.labels(run_result.reason).inc()
        self._log.decided('refuse', attempt.order, run_result.reason)

    def stop(self, attempt_id: str) -> None:
        """Let the task cancel the request at the backend server."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            attempt.give(Stopped())
            self._log.decided('stop', attempt.order, 'cancelled by the entry')

    def remove(self, now: float, left: Left) -> LiveAttempt | None:
        """Forget an attempt whose task is done with it."""
        attempt = self._attempts.pop(left.attempt_id, None)
        if attempt is None:
            return None
        attempt.verdicts.close()
        if attempt.started_at is not None:
            seconds = now - attempt.started_at
            self._metrics.count_end(
                whole=left.whole,
                cost=left.cost,
                seconds=seconds,
            )
            reason = 'whole answer' if left.whole else 'no whole answer'
            self._log.decided('end', attempt.order, reason)
        return attempt

    def close(self) -> None:
        """Tell all tasks that nobody decides any more; running ones stop."""
        for attempt in self._attempts.values():
            attempt.verdicts.close()
