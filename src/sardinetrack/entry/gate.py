"""Counts the requests in progress and shuts the door for a drain."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from sardinetrack.charts.drain import DRAIN, DrainEvent, DrainState
from sardinetrack.errors.api import AnsweredError, ErrorKind


class Gate:
    """Where a caller's request enters."""

    def __init__(self) -> None:
        """Start open and empty."""
        self.inside = 0
        self._chart = DRAIN.start()
        self._empty = anyio.Event()
        self._changed_at = anyio.current_time()

    @property
    def state(self) -> DrainState:
        """How far the shutdown is."""
        return self._chart.state

    def state_seconds(self) -> float:
        """Tell for how long the shutdown has been that far."""
        return anyio.current_time() - self._changed_at

    @property
    def open(self) -> bool:
        """Whether requests are let in."""
        state = self._chart.state
        return state in {DrainState.SERVING, DrainState.LEAVING}

    @property
    def draining(self) -> bool:
        """Not ready any more; still open until the balancer has noticed."""
        return self._chart.state is not DrainState.SERVING

    @contextmanager
    def passed(self) -> Iterator[None]:
        """Let a request in for as long as the context lasts.

        :raises AnsweredError: the gate is shut.
        """
        if not self.open:
            raise AnsweredError(ErrorKind.NOT_RUN_DRAINING)
        self.inside += 1
        try:
            yield
        finally:
            self.inside -= 1
            if not self.inside:
                self._empty.set()
                self._empty = anyio.Event()

    def leave(self) -> None:
        """Be ready no longer."""
        self._fire(DrainEvent.DRAIN)

    def shut(self) -> None:
        """Refuse requests from now on."""
        self._fire(DrainEvent.SHUT)

    def close(self) -> None:
        """Note that the wait for the last request is over."""
        late = self.inside > 0
        self._fire(DrainEvent.DEADLINE if late else DrainEvent.IDLE)

    def _fire(self, event: DrainEvent) -> None:
        self._chart.fire(event)
        self._changed_at = anyio.current_time()

    async def empty(self) -> None:
        """Return when no request is inside."""
        while self.inside:
            await self._empty.wait()
