"""Attempts whose tasks have not ended, as tracked by the owner task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.messages.run import RunRequest, RunResult
from sardinetrack.side.events import (
    AttemptDecision,
    AttemptEnded,
    Refused,
    RunRequestReceived,
    Started,
    Stopped,
)
from sardinetrack.side.log import DecisionLog
from sardinetrack.side.metrics import SideMetrics

_NOT_RECEIVED: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.WouldBlock,
)


@dataclass(slots=True)
class ActiveAttempt:
    """An attempt between its arrival and the end of its task."""

    run_request: RunRequest
    decisions: MemoryObjectSendStream[AttemptDecision]
    started_at: float | None = None
    refused: bool = False

    @property
    def undecided(self) -> bool:
        """Whether the attempt is neither started nor refused."""
        return self.started_at is None and not self.refused

    def deliver(self, decision: AttemptDecision) -> None:
        """Send a decision to the attempt's task."""
        try:
            self.decisions.send_nowait(decision)
        except _NOT_RECEIVED:
            # Either the task has ended and its report is on the way, or it has
            # not read its decisions yet and the last of them is a stop
            # already.
            return


class ActiveAttempts:
    """All active attempts by id."""

    def __init__(self, log: DecisionLog, metrics: SideMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._attempts: dict[str, ActiveAttempt] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt_id: str) -> ActiveAttempt | None:
        """Return an active attempt, ``None`` if there is none."""
        return self._attempts.get(attempt_id)

    def add(self, arrived: RunRequestReceived) -> None:
        """Add the attempt of a new run request."""
        attempt = ActiveAttempt(arrived.run_request, arrived.decisions)
        self._attempts[arrived.run_request.attempt_id] = attempt

    def start(self, now: float, attempt_id: str, free: int) -> None:
        """Make the task send the request to the backend server."""
        attempt = self._attempts[attempt_id]
        attempt.started_at = now
        attempt.deliver(Started(free))
        self._metrics.started.inc()
        run_request = attempt.run_request
        reason = (
            f'grant {run_request.grant}' if run_request.grant else 'free slot'
        )
        self._log.record('start', run_request, reason)

    def refuse(self, attempt_id: str, run_result: RunResult) -> None:
        """Make the task respond that the request was not started."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None and attempt.undecided:
            attempt.refused = True
            self.refuse_request(attempt, run_result)

    def refuse_request(
        self, attempt: ActiveAttempt, run_result: RunResult
    ) -> None:
        """Refuse a run request; an active attempt may have the same id."""
        attempt.deliver(Refused(run_result))
        self._metrics.refused.labels(run_result.reason).inc()
        self._log.record('refuse', attempt.run_request, run_result.reason)

    def stop(self, attempt_id: str) -> None:
        """Make the task cancel the request at the backend server."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            attempt.deliver(Stopped())
            self._log.record(
                'stop', attempt.run_request, 'cancelled by the entry'
            )

    def remove(self, now: float, ended: AttemptEnded) -> ActiveAttempt | None:
        """Remove an attempt whose task has ended."""
        attempt = self._attempts.pop(ended.attempt_id, None)
        if attempt is None:
            return None
        attempt.decisions.close()
        if attempt.started_at is not None:
            seconds = now - attempt.started_at
            self._metrics.record_end(
                complete=ended.complete,
                cost=ended.cost,
                seconds=seconds,
            )
            reason = (
                'complete response' if ended.complete else 'incomplete response'
            )
            self._log.record('end', attempt.run_request, reason)
        return attempt

    def close(self) -> None:
        """Close all decision streams; running requests are then cancelled."""
        for attempt in self._attempts.values():
            attempt.decisions.close()
