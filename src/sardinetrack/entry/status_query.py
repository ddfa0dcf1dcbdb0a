"""Queries a side for the status of an attempt whose connection broke."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

import anyio
import msgspec

from sardinetrack.entry.side_directory import SideDirectory, SideEndpoint
from sardinetrack.http.client import ConnectionBrokenError, RequestNotSentError
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.messages.run import (
    ATTEMPT_PATH,
    AttemptStatus,
    AttemptStatusRequest,
    AttemptStatusResponse,
)
from sardinetrack.routing.api import AttemptOutcome, Dispatch

_LOG: Final = ComponentLogger(LogComponent.ENTRY)
_DELAYS_SECONDS: Final = (0, 0.2, 0.6)
_QUERY_TIMEOUT_SECONDS: Final = 1.0
_RESPONSES: Final = JsonDecoder[AttemptStatusResponse](AttemptStatusResponse)
STATUS_TRUST_SECONDS: Final = 600.0
"""Less than a side keeps records: ``admission.attempts.KEEP_SECONDS``."""
_OUTCOMES: Final = MappingProxyType(
    {
        AttemptStatus.NOT_STARTED: AttemptOutcome.NOT_STARTED,
        # Only the connection broke: reporting a failure would record a strike
        # against the request for a crash that did not happen.
        AttemptStatus.RUNNING: AttemptOutcome.UNKNOWN,
        AttemptStatus.FINISHED: AttemptOutcome.UNKNOWN,
        AttemptStatus.STOPPED: AttemptOutcome.UNKNOWN,
        AttemptStatus.FAILED: AttemptOutcome.FAILED,
        AttemptStatus.UNKNOWN: AttemptOutcome.UNKNOWN,
    },
)


class StatusQuery:
    """Queries one side, the only authority on whether an attempt has run.

    The query can also cancel the attempt: after it a delayed run request cannot
    start, and a response that has no receiver is no longer generated.
    """

    def __init__(self, sides: SideDirectory, side: SideEndpoint) -> None:
        self._sides = sides
        self._side = side

    async def resolve(
        self,
        dispatch: Dispatch,
        began_seconds: float,
    ) -> AttemptOutcome:
        """Query and cancel an attempt, with retries.

        :param dispatch: the attempt.
        :param began_seconds: when it was dispatched, on the event loop's clock.
        :return: its outcome; ``UNKNOWN`` when no query got a response.
        """
        for delay_seconds in _DELAYS_SECONDS:
            await anyio.sleep(delay_seconds)
            status = await self.query_once(dispatch.attempt_id, cancel=True)
            if status is not None:
                return _trusted(_OUTCOMES[status], began_seconds)
        return AttemptOutcome.UNKNOWN

    async def query_once(
        self, attempt_id: str, *, cancel: bool
    ) -> AttemptStatus | None:
        """Query the status of an attempt once.

        :param attempt_id: the attempt; if not started, it never will be.
        :param cancel: whether to stop it if it runs.
        :return: its status; ``None`` when there was no response.
        """
        query = AttemptStatusRequest(attempt_id, self._side.incarnation, cancel)
        with anyio.move_on_after(_QUERY_TIMEOUT_SECONDS):
            try:
                return await self._call(attempt_id, query)
            except (
                RequestNotSentError,
                ConnectionBrokenError,
                UnreadableError,
            ) as error:
                _LOG.info(
                    'attempt status query failed',
                    attempt_id=attempt_id,
                    side=self._side.name,
                    error=str(error),
                )
        return None

    async def _call(
        self, attempt_id: str, query: AttemptStatusRequest
    ) -> AttemptStatus:
        response = await self._sides.http.call(
            'POST',
            self._side.url(f'{ATTEMPT_PATH}{attempt_id}'),
            headers=[self._sides.secret.header()],
            body=msgspec.json.encode(query),
        )
        return _RESPONSES.decode(response.body).fate


def _trusted(end: AttemptOutcome, began_seconds: float) -> AttemptOutcome:
    # An entry that was suspended for long may query after the side has deleted
    # the record of a run, and receives "not started" although the request did
    # run. Until the side deletes its records the status is true, so it is
    # trusted for less than that time.
    age_seconds = anyio.current_time() - began_seconds
    if end is AttemptOutcome.NOT_STARTED and age_seconds > STATUS_TRUST_SECONDS:
        return AttemptOutcome.UNKNOWN
    return end
