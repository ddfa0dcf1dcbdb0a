"""An event loop whose time jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, Final

import anyio

_BEGIN_SECONDS: Final = 1000.0


class StalledError(Exception):
    """Nothing can ever happen any more."""


class _InstantSelector(selectors.DefaultSelector):
    """Adds the time that a real selector would have waited."""

    def __init__(self) -> None:
        """Start the clock."""
        super().__init__()
        self.now = _BEGIN_SECONDS

    def select(self, timeout: float | None = None) -> list[Any]:
        """Jump to the next timer."""
        found = super().select(0)
        if found or timeout == 0:
            return found
        if timeout is None:
            raise StalledError
        self.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs as fast as it can; all durations are virtual."""

    def __init__(self) -> None:
        """Build a loop."""
        self._virtual = _InstantSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Tell the virtual time."""
        return self._virtual.now


def run_virtually(main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run a coroutine function in virtual time."""
    return anyio.run(
        main,
        *arguments,
        backend_options={'loop_factory': VirtualLoop},
    )
