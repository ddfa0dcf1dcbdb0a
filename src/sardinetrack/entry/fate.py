"""Ask a side what became of an attempt whose connection broke."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

import anyio
import msgspec

from sardinetrack.entry.sides import KnownSide, Sides
from sardinetrack.http.client import BrokenError, NotSentError
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.run import (
    ATTEMPT_PATH,
    AttemptAnswer,
    AttemptQuery,
    Fate,
)
from sardinetrack.routing.api import AttemptEnd, Dispatch

_LOG: Final = PartLogger(Part.ENTRY)
_PAUSES_SECONDS: Final = (0, 0.2, 0.6)
_ASK_SECONDS: Final = 1.0
TRUSTED_SECONDS: Final = 600.0
"""Less than a side keeps its records, see ``admission.book.KEEP_SECONDS``."""
_ENDS: Final = MappingProxyType(
    {
        Fate.NOT_STARTED: AttemptEnd.NOT_STARTED,
        # Only the way back broke: calling it a failure would strike the
        # request for a crash that did not happen.
        Fate.RUNNING: AttemptEnd.UNKNOWN,
        Fate.FINISHED: AttemptEnd.UNKNOWN,
        Fate.STOPPED: AttemptEnd.UNKNOWN,
        Fate.FAILED: AttemptEnd.FAILED,
        Fate.UNKNOWN: AttemptEnd.UNKNOWN,
    },
)


class FateQuery:
    """Asks one side; only its word makes "not run" true.

    The question also cancels: after it a delayed order can't start, and an
    answer that nobody would receive isn't produced any longer.
    """

    def __init__(self, sides: Sides, side: KnownSide) -> None:
        """Remember whom to ask."""
        self._sides = sides
        self._side = side

    async def ask(
        self,
        dispatch: Dispatch,
        began_seconds: float,
    ) -> AttemptEnd:
        """Ask a few times.

        :param dispatch: the attempt.
        :param began_seconds: when it was dispatched, on the loop's clock.
        :return: its end; ``UNKNOWN`` when nobody can tell.
        """
        for pause_seconds in _PAUSES_SECONDS:
            await anyio.sleep(pause_seconds)
            fate = await self.fate(dispatch.attempt_id, cancel=True)
            if fate is not None:
                return _trusted(_ENDS[fate], began_seconds)
        return AttemptEnd.UNKNOWN

    async def fate(self, attempt_id: str, *, cancel: bool) -> Fate | None:
        """Ask once.

        :param attempt_id: the attempt; one that is not started never will be.
        :param cancel: also stop it if it runs.
        :return: its fate; ``None`` when no answer came.
        """
        query = AttemptQuery(attempt_id, self._side.incarnation, cancel)
        with anyio.move_on_after(_ASK_SECONDS):
            try:
                return await self._call(attempt_id, query)
            except (NotSentError, BrokenError, msgspec.DecodeError) as error:
                _LOG.info(
                    'no answer about an attempt',
                    attempt_id=attempt_id,
                    side=self._side.name,
                    error=str(error),
                )
        return None

    async def _call(self, attempt_id: str, query: AttemptQuery) -> Fate:
        reply = await self._sides.http.call(
            'POST',
            self._side.url(f'{ATTEMPT_PATH}{attempt_id}'),
            headers=[self._sides.secret.header()],
            body=msgspec.json.encode(query),
        )
        return msgspec.json.decode(reply.body, type=AttemptAnswer).fate


def _trusted(end: AttemptEnd, began_seconds: float) -> AttemptEnd:
    # An entry that was frozen for long asks after the side has forgotten
    # what ran, and hears "not started" of a request that did run. Within the
    # side's memory the word is true, so it is believed no longer than that.
    age_seconds = anyio.current_time() - began_seconds
    if end is AttemptEnd.NOT_STARTED and age_seconds > TRUSTED_SECONDS:
        return AttemptEnd.UNKNOWN
    return end
