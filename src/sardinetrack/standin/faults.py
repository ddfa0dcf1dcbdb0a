"""Injected faults of a stand-in, which may change while it runs."""

from __future__ import annotations

from typing import Annotated, Final

import anyio
from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

_MIN_STATUS: Final = 400
_MAX_STATUS: Final = 599

Delay = Annotated[float, Field(ge=0)]
RestTime = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=0)]
ErrorStatus = Annotated[int, Field(ge=_MIN_STATUS, le=_MAX_STATUS)]


@dataclass(frozen=True, config=ConfigDict(extra='forbid'))
class Faults:
    """Faults to inject; by default none.

    :param crash_marker: a request that contains it crashes the stand-in.
    :param crash_kills_process: a crash kills the process with SIGKILL;
        otherwise all connections are aborted and the port refuses others.
    :param restart_seconds: how long the port refuses after a crash.
    :param frozen: requests are accepted and delayed until this is unset.
    :param late_seconds: delay before the first byte of a response.
    :param cut_after_chunks: number of tokens or body chunks after which the
        connection is aborted.
    :param error_status: status of the error response to every request.
    :param second_response_seconds: how long after each response the same one
        is sent again, unless another has begun; 0 sends it at once.
    :param error_after_run: run the request before responding with the error.
    :param rest_seconds: requests are refused with 503 and this ``Retry-After``
        before they run; load queries are not.
    :param leaving: every response has the header ``Server-Leaving: 1``.
    """

    crash_marker: str | None = None
    crash_kills_process: bool = False
    restart_seconds: Delay = 1
    frozen: bool = False
    late_seconds: Delay = 0
    cut_after_chunks: Count | None = None
    error_status: ErrorStatus | None = None
    error_after_run: bool = False
    second_response_seconds: Delay | None = None
    rest_seconds: RestTime | None = None
    leaving: bool = False

    def crashes_on(self, text: str) -> bool:
        """Return whether a request with this text crashes the stand-in."""
        return bool(self.crash_marker) and str(self.crash_marker) in text


class FaultSwitch:
    """The active faults."""

    def __init__(self, faults: Faults) -> None:
        """Activate the initial faults."""
        self.current = faults
        self._changed = anyio.Event()

    def replace(self, faults: Faults) -> None:
        """Replace all faults."""
        self.current = faults
        self._changed.set()
        self._changed = anyio.Event()

    def replace_json(self, body: bytes) -> None:
        """Replace all faults by a JSON object; missing fields are unset.

        :raises ValueError: the object is invalid.
        """
        self.replace(_FAULTS.validate_json(body))

    async def wait_unfrozen(self) -> None:
        """Wait until the stand-in is not frozen."""
        while self.current.frozen:
            await self._changed.wait()


_FAULTS: Final = TypeAdapter(Faults)
