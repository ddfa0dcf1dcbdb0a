"""Faults of a stand-in, settable while it runs."""

from __future__ import annotations

from typing import Annotated, Final

import anyio
from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

_FIRST_STATUS: Final = 400
_LAST_STATUS: Final = 599

Delay = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=0)]
ErrorStatus = Annotated[int, Field(ge=_FIRST_STATUS, le=_LAST_STATUS)]


@dataclass(frozen=True, config=ConfigDict(extra='forbid'))
class Faults:
    """What a stand-in does wrong; the default does all right.

    :param crash_marker: a request that contains it crashes the stand-in.
    :param crash_kills_process: a crash kills the process with SIGKILL;
        otherwise all connections are cut and the port refuses others.
    :param restart_seconds: how long the port refuses after a crash.
    :param frozen: requests are accepted and held until this is unset.
    :param late_seconds: pause before the first byte of an answer.
    :param cut_after_chunks: tokens, or pieces of a body, before the
        connection is cut.
    :param error_status: answer every request so.
    :param error_after_run: run the request before answering the error.
    """

    crash_marker: str | None = None
    crash_kills_process: bool = False
    restart_seconds: Delay = 1
    frozen: bool = False
    late_seconds: Delay = 0
    cut_after_chunks: Count | None = None
    error_status: ErrorStatus | None = None
    error_after_run: bool = False

    def crashes_on(self, text: str) -> bool:
        """Tell whether a request with this text crashes the stand-in."""
        return bool(self.crash_marker) and str(self.crash_marker) in text


class FaultSwitch:
    """The faults in force now."""

    def __init__(self, faults: Faults) -> None:
        """Start with these faults."""
        self.current = faults
        self._changed = anyio.Event()

    def put(self, faults: Faults) -> None:
        """Replace all faults."""
        self.current = faults
        self._changed.set()
        self._changed = anyio.Event()

    def put_json(self, body: bytes) -> None:
        """Replace all faults by a JSON object; missing ones are unset.

        :raises ValueError: the object is not valid.
        """
        self.put(_FAULTS.validate_json(body))

    async def thawed(self) -> None:
        """Wait until the stand-in is not frozen."""
        while self.current.frozen:
            await self._changed.wait()


_FAULTS: Final = TypeAdapter(Faults)
