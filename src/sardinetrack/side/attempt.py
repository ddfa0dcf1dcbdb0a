"""One order between its arrival and its end, seen from its own task."""

from __future__ import annotations

from types import TracebackType
from typing import Final, Self

import anyio

from sardinetrack.admission.api import RefusalReason
from sardinetrack.messages.run import Fate, RunOrder, RunResult
from sardinetrack.side.events import (
    Arrived,
    Left,
    Refused,
    SideEvents,
    Started,
    Stopped,
    Verdict,
)

_MOST_VERDICTS: Final = 2
_GONE: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class Attempt:
    """Submits an order to the owner task and reports how it ended."""

    def __init__(self, order: RunOrder, owner: SideEvents) -> None:
        """Prepare; entering the context submits the order."""
        self.order = order
        self._owner = owner
        streams = anyio.create_memory_object_stream[Verdict](_MOST_VERDICTS)
        self._given = streams[0]
        self._verdicts = streams[1]
        self._over = False

    async def __aenter__(self) -> Self:
        """Submit the order."""
        try:
            await self._owner.send(Arrived(self.order, self._given))
        except _GONE:
            self._given.close()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Report an end that was not reported yet."""
        self._verdicts.close()
        await self.over(whole=False, cost=0, stopped=True)

    async def verdict(self) -> Started | Refused:
        """Wait until the order is started or refused."""
        try:
            first = await self._verdicts.receive()
        except anyio.EndOfStream:
            return self._refused_by_end()
        # Stopped before any start: the fate is told by the query itself.
        return self._refused_by_end() if isinstance(first, Stopped) else first

    async def stopped(self) -> None:
        """Return when the request is to be cancelled."""
        try:
            await self._verdicts.receive()
        except anyio.EndOfStream:
            return

    async def over(
        self,
        *,
        whole: bool,
        cost: float,
        stopped: bool = False,
    ) -> None:
        """Report the end; only the first report counts.

        :param whole: the backend server's answer was complete.
        :param cost: what it cost, in cost units of the pool.
        :param stopped: not whole, though the backend server did not fail.
        """
        if self._over:
            return
        self._over = True
        left = Left(self.order.attempt_id, whole, cost, stopped)
        # Shielded: a report lost to a cancellation would leave the slot
        # taken for ever. The owner never blocks, so this is short.
        with anyio.CancelScope(shield=True):
            try:
                await self._owner.send(left)
            except _GONE:
                return

    def _refused_by_end(self) -> Refused:
        return Refused(
            RunResult(
                Fate.NOT_STARTED,
                self.order.incarnation,
                reason=RefusalReason.DRAINING,
            ),
        )
