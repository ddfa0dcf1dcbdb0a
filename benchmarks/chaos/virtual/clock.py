"""An event loop whose time jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, Final

import anyio

_START_SECONDS: Final = 1000.0


class StalledError(Exception):
    """The loop has neither timers nor ready events, so it can't continue."""


class _InstantSelector(selectors.DefaultSelector):
    """Adds the time that a real selector would have waited to the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _START_SECONDS

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock to the next timer instead of waiting."""
        found = super().select(0)
        if found or timeout == 0:
            return found
        if timeout is None:
            raise StalledError
        self.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, which never waits."""

    def __init__(self) -> None:
        self._virtual = _InstantSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual.now


def run_virtually(main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run a coroutine function in virtual time."""
    return anyio.run(
        main,
        *arguments,
        backend_options={'loop_factory': VirtualLoop},
    )
