"""Opens the listeners of a process, also on ports that are not free yet."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Final, Self

from sardinetrack.logs.events import Event, EventLog

RETRY_SECONDS: Final = 0.1

OpenListener = Callable[[], Awaitable[object]]
"""Opens a listener; raises ``OSError`` if its address can't be used now."""


class Ports:
    """Opens listeners, and tries again in the background until each is open.

    A predecessor that still drains, or an outgoing connection of any process,
    may have the port for a while, and the address itself may appear late.
    """

    def __init__(self, log: EventLog) -> None:
        """Start without listeners.

        :param log: receives which ports are unavailable.
        """
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Return the ports."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop trying."""
        self.close()

    def close(self) -> None:
        """Stop trying to open what is not open yet."""
        for task in self._tasks:
            task.cancel()

    async def open(self, port: str, open_listener: OpenListener) -> None:
        """Open a listener now, or later if its port is unavailable.

        :param port: what the port is for, in the log.
        """
        cause = await self._try_open(open_listener)
        if cause is None:
            return
        self._log.write(Event.PORT_UNAVAILABLE, port=port, cause=cause)
        task = asyncio.create_task(self._open_later(port, open_listener))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_later(self, port: str, open_listener: OpenListener) -> None:
        cause: str | None = ''
        while cause is not None:
            self._log.flush()
            await asyncio.sleep(RETRY_SECONDS)
            cause = await self._try_open(open_listener)
        self._log.write(Event.PORT_OPENED, port=port)

    async def _try_open(self, open_listener: OpenListener) -> str | None:
        """Return why a listener can't be opened; ``None`` if it is open."""
        try:
            await open_listener()
        except OSError as error:
            return str(error)
        return None
