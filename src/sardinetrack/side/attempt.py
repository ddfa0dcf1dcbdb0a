"""One attempt to run a request, as seen by the task that handles it."""

from __future__ import annotations

from types import TracebackType
from typing import Final, Self

import anyio

from sardinetrack.admission.api import RefusalReason
from sardinetrack.messages.run import AttemptStatus, RunRequest, RunResult
from sardinetrack.side.events import (
    AttemptDecision,
    AttemptEnded,
    Refused,
    RunRequestReceived,
    SideEvents,
    Started,
    Stopped,
)

_MAX_DECISIONS: Final = 2
_OWNER_ENDED: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class SideAttempt:
    """Submits a run request to the owner task and reports how it ended."""

    def __init__(self, run_request: RunRequest, owner: SideEvents) -> None:
        """Create the attempt; entering its context submits it.

        :param run_request: the request as received from the entry.
        :param owner: stream of events to the owner task.
        """
        self.run_request = run_request
        self._owner = owner
        streams = anyio.create_memory_object_stream[AttemptDecision](
            _MAX_DECISIONS
        )
        self._decision_sender = streams[0]
        self._decisions = streams[1]
        self._end_reported = False

    async def __aenter__(self) -> Self:
        """Submit the run request."""
        try:
            await self._owner.send(
                RunRequestReceived(self.run_request, self._decision_sender)
            )
        except _OWNER_ENDED:
            self._decision_sender.close()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Report the end unless it was reported before."""
        self._decisions.close()
        await self.report_end(complete=False, cost=0, stopped=True)

    async def decision(self) -> Started | Refused:
        """Wait until the attempt is started or refused."""
        try:
            first = await self._decisions.receive()
        except anyio.EndOfStream:
            return self._refusal_after_end()
        # Stopped before any start: the response to the status query already
        # carries the fate.
        return (
            self._refusal_after_end() if isinstance(first, Stopped) else first
        )

    async def wait_stopped(self) -> None:
        """Return when the request has to be cancelled."""
        try:
            await self._decisions.receive()
        except anyio.EndOfStream:
            return

    async def report_end(
        self,
        *,
        complete: bool,
        cost: float,
        stopped: bool = False,
    ) -> None:
        """Report the end; only the first report counts.

        :param complete: whether the backend server's response was complete.
        :param cost: cost of the request, in cost units of the pool.
        :param stopped: the response is incomplete, though the backend server
            did not fail.
        """
        if self._end_reported:
            return
        self._end_reported = True
        end = AttemptEnded(self.run_request.attempt_id, complete, cost, stopped)
        # Shielded: a report lost to a cancellation would leave the slot
        # occupied permanently. The owner task never blocks, so this is short.
        with anyio.CancelScope(shield=True):
            try:
                await self._owner.send(end)
            except _OWNER_ENDED:
                return

    def _refusal_after_end(self) -> Refused:
        return Refused(
            RunResult(
                AttemptStatus.NOT_STARTED,
                self.run_request.incarnation,
                reason=RefusalReason.DRAINING,
            ),
        )
