"""Counts the requests in progress and shuts the door for a drain."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from sardinetrack.errors.api import AnsweredError, ErrorKind


class Gate:
    """Where a caller's request enters."""

    def __init__(self) -> None:
        """Start open and empty."""
        self.open = True
        self.draining = False
        """Not ready any more; still open until the balancer has noticed."""
        self.inside = 0
        self._empty = anyio.Event()

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

    def shut(self) -> None:
        """Refuse requests from now on."""
        self.open = False

    async def empty(self) -> None:
        """Return when no request is inside."""
        while self.inside:
            await self._empty.wait()
