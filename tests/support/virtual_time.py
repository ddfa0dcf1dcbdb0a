"""An event loop whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

ResultT = TypeVar('ResultT')


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 1_000.0

    def select(self, timeout: float | None = None) -> Any:
        """Poll the sockets; if none is ready, advance by the time-out."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs hours quickly; the same program takes the same steps each time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._jumping.now


def run_virtually(
    main: Callable[..., Awaitable[ResultT]],
    *arguments: Any,
) -> ResultT:
    """Run a coroutine function on virtual time.

    :return: its result.
    """
    return anyio.run(
        main,
        *arguments,
        backend_options={'loop_factory': VirtualTimeLoop},
    )
