"""Counts the requests in progress and rejects new ones during a drain."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from sardinetrack.charts.drain import DRAIN_CHART, DrainEvent, DrainState
from sardinetrack.errors.api import ErrorKind, RequestError


class DrainGate:
    """The entry's shutdown state, checked for each caller's request."""

    def __init__(self) -> None:
        self.inside = 0
        self._chart = DRAIN_CHART.start()
        self._idle = anyio.Event()
        self._changed_at = anyio.current_time()

    @property
    def state(self) -> DrainState:
        """The state of the shutdown."""
        return self._chart.state

    def state_seconds(self) -> float:
        """Return the time since the last change of state."""
        return anyio.current_time() - self._changed_at

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are accepted."""
        state = self._chart.state
        return state in {DrainState.SERVING, DrainState.LEAVING}

    @property
    def draining(self) -> bool:
        """Whether a shutdown has started.

        The instance is no longer ready, but still accepts requests until the
        load balancer has noticed.
        """
        return self._chart.state is not DrainState.SERVING

    @contextmanager
    def admitted(self) -> Iterator[None]:
        """Count a request as in progress while the context is open.

        :raises RequestError: new requests are rejected.
        """
        if not self.accepts_requests:
            raise RequestError(ErrorKind.NOT_RUN_DRAINING)
        self.inside += 1
        try:
            yield
        finally:
            self.inside -= 1
            if not self.inside:
                self._idle.set()
                self._idle = anyio.Event()

    def begin_shutdown(self) -> None:
        """Start the shutdown: the instance is no longer ready."""
        self._fire(DrainEvent.DRAIN)

    def stop_accepting(self) -> None:
        """Reject new requests from now on."""
        self._fire(DrainEvent.SHUT)

    def end_drain(self) -> None:
        """End the wait for requests in progress."""
        late = self.inside > 0
        self._fire(DrainEvent.DEADLINE if late else DrainEvent.IDLE)

    def _fire(self, event: DrainEvent) -> None:
        self._chart.fire(event)
        self._changed_at = anyio.current_time()

    async def wait_idle(self) -> None:
        """Return when no request is in progress."""
        while self.inside:
            await self._idle.wait()
