"""Until when a stopping entry sends requests to servers."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.relay.caller_response import CallerResponse
from sardinetrack.turns.clock import loop_now

DRAIN_SEND_SECONDS: Final = 2.8
"""How long a stopping entry still sends requests.

What it sends later may be interrupted when the grace period ends, with no
response. It is longer than requests are accepted, for a request that is
accepted last and waits a little; the platform's rules excuse no request that is
sent 3 s after the signal.
"""


class SendBound:
    """Decides whether a request may be sent now, for the first time or again.

    A response that has begun is exempt: without another attempt it would be
    truncated now, with one it is interrupted at the end of the grace period at
    worst, and most end before.
    """

    def __init__(self) -> None:
        """Create the bound of an entry that is not stopping."""
        self._ends_seconds = math.inf

    def begin(self, stopped_seconds: float) -> None:
        """Set the bound.

        :param stopped_seconds: when the entry began to stop, on the clock of
            the event loop.
        """
        self._ends_seconds = stopped_seconds + DRAIN_SEND_SECONDS

    def refusal(self, response: CallerResponse) -> RequestError | None:
        """Return why a request may not be sent any more, if so.

        :param response: to the caller.
        """
        if response.started or loop_now() < self._ends_seconds:
            return None
        return RequestError(ErrorKind.NOT_RUN_DRAINING)
