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
        """Poll the sockets; let the time pass that nothing happens in."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs hours in moments; the same program takes the same steps."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Tell the virtual time."""
        return self._jumping.now


def run_virtually(
    main: Callable[..., Awaitable[ResultT]],
    *arguments: Any,
) -> ResultT:
    """Run a coroutine function on virtual time.

    :return: what it returned.
    """
    return anyio.run(
        main,
        *arguments,
        backend_options={'loop_factory': VirtualTimeLoop},
    )
