"""Tasks without which a process lives but does nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from sardinetrack.logs.events import Event, EventLog

PAUSE_SECONDS: Final = 0.5
"""Before a task is run again after an unexpected error."""


async def keep_running(
    run: Callable[[], Awaitable[None]], log: EventLog, what: str
) -> None:
    """Run until cancelled, again after an unexpected error.

    :param run: runs until it is cancelled.
    :param log: receives the errors.
    :param what: names the task in the log.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log.write(Event.FAULT, what=what, cause=repr(error))
            log.flush()
        await asyncio.sleep(PAUSE_SECONDS)
