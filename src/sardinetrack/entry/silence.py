"""Ends the wait for an answer that can't come any more."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup

from sardinetrack.entry.fate import FateQuery
from sardinetrack.entry.sides import KnownSide, Sides
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.run import Fate

_LOG: Final = PartLogger(Part.ENTRY)
SILENCE_SECONDS: Final = 2.0
"""An answer that flows is heard of more often than that."""
RETURN_SECONDS: Final = 15.0
"""How long an answer that has begun waits for a side that is gone.

A request that has not begun to answer is better tried elsewhere, but nobody
can give the rest of an answer but the side that began it. A side whose
process or machine stalls for seconds still has it.
"""
_ALIVE: Final = frozenset((Fate.RUNNING, None))
"""Fates that say nothing against waiting on; ``None`` is no answer."""


class SilenceWatch:
    """Watches one attempt's connection by what is known of its side.

    A link and the connections of attempts beside it break together or alone.
    A connection that is lost without a word (a flow dropped by a middlebox,
    a connection accepted by a kernel and by nobody else) stays open and
    silent: its caller would wait for the longest run that the pool allows.
    """

    def __init__(
        self,
        sides: Sides,
        side: KnownSide,
        attempt_id: str,
        silent_seconds: Callable[[], float],
        begun: Callable[[], bool],
    ) -> None:
        """Prepare.

        :param sides: tells what becomes of the side's link.
        :param side: where the attempt went.
        :param attempt_id: the attempt.
        :param silent_seconds: for how long nothing was heard of it.
        :param begun: whether the caller has a part of the answer.
        """
        self._sides = sides
        self._side = side
        self._query = FateQuery(sides, side)
        self._attempt_id = attempt_id
        self._silent_seconds = silent_seconds
        self._begun = begun

    def start(self, tasks: TaskGroup) -> None:
        """Watch in a group, and cancel it when the answer can't come.

        The watching tasks are the group's own: whatever ends after the answer
        delays the note that the attempt has ended, by which a resend is told
        so.
        """
        waiting = tasks.cancel_scope
        tasks.start_soon(self._until_side_lost, waiting)
        tasks.start_soon(self._until_connection_lost, waiting)

    async def _until_side_lost(self, waiting: anyio.CancelScope) -> None:
        await self._sides.lost(self._side)
        # The link may break alone while the answer still flows.
        while self._silent_seconds() < self._patience_seconds():
            await anyio.sleep(SILENCE_SECONDS / 2)
            await self._sides.lost(self._side)
        self._give_up(waiting, 'side lost during an attempt')

    def _patience_seconds(self) -> float:
        successor = self._sides.find(self._side.name)
        if not self._begun() or successor not in {None, self._side}:
            return SILENCE_SECONDS
        return RETURN_SECONDS

    async def _until_connection_lost(self, waiting: anyio.CancelScope) -> None:
        await self._sides.broke(self._side)
        while True:
            await anyio.sleep(SILENCE_SECONDS)
            if await self._over_and_silent():
                break
        self._give_up(waiting, 'connection lost during an attempt')

    async def _over_and_silent(self) -> bool:
        """Tell whether the side is done and its last word never came."""
        if self._silent_seconds() < SILENCE_SECONDS:
            return False
        fate = await self._query.fate(self._attempt_id, cancel=False)
        if fate in _ALIVE:
            return False
        # What the side has just sent may still be on its way.
        await anyio.sleep(SILENCE_SECONDS)
        return self._silent_seconds() >= SILENCE_SECONDS

    def _give_up(self, waiting: anyio.CancelScope, cause: str) -> None:
        _LOG.warning(
            cause,
            attempt_id=self._attempt_id,
            side=self._side.name,
            silent_seconds=round(self._silent_seconds(), 1),
            begun=self._begun(),
        )
        waiting.cancel()
