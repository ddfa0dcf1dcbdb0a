"""Reads what the backend server asks for in the headers of its responses."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import Final

import anyio

from sardinetrack.http.client import HttpResponse, StreamedResponse
from sardinetrack.side.events import (
    RestRequested,
    ServerResponded,
    SideEvent,
    SideEvents,
)

_REST_STATUSES: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
_LEAVING: Final = '1'
_SECONDS: Final = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+', re.ASCII)
_OWNER_ENDED: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError)


ObservedResponse = HttpResponse | StreamedResponse


class ResponseObserver:
    """Reports to the owner task what responses of the server ask for."""

    def __init__(self, owner: SideEvents) -> None:
        """Set the receiver.

        :param owner: stream of events to the owner task.
        """
        self._owner = owner

    async def observe(
        self,
        response: ObservedResponse,
        sent_at: float,
        attempt_id: str = '',
    ) -> None:
        """Report a response.

        :param response: the response of the backend server.
        :param sent_at: when its request was sent (monotonic).
        :param attempt_id: the attempt; empty for a query of the side itself.
        """
        leaving = response.header('server-leaving') == _LEAVING
        if leaving or not attempt_id:
            await self._report(ServerResponded(sent_at, leaving, attempt_id))
        seconds = rest_seconds(response)
        if seconds > 0:
            await self._report(RestRequested(seconds, attempt_id))

    async def _report(self, event: SideEvent) -> None:
        try:
            await self._owner.send(event)
        except _OWNER_ENDED:
            return


def rest_seconds(response: ObservedResponse) -> float:
    """Return for how long a response asks for no requests; 0 for no rest.

    Only a number of seconds counts. The clock behind an HTTP date may differ
    from the side's.
    """
    text = (response.header('retry-after') or '').strip()
    asks = response.status in _REST_STATUSES and _SECONDS.fullmatch(text)
    seconds = float(text) if asks else 0
    return seconds if math.isfinite(seconds) else 0
