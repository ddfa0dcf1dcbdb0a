"""Runs the requests whose parts are suspected one at a time."""

from __future__ import annotations


class TrialGate:
    """Admits one request with a suspected part at a time to an engine.

    All entries send those with one part to the same engine. If two ran there at
    the same time and it crashed, both would look guilty.
    """

    def __init__(self) -> None:
        """Start without a trial."""
        self._running = ''

    def begin(self, permit_id: str) -> bool:
        """Begin a trial.

        :return: whether it may begin.
        """
        if self._running:
            return False
        self._running = permit_id
        return True

    def end(self, permit_id: str) -> None:
        """End a trial: the engine responds, or the request has ended."""
        if self._running == permit_id:
            self._running = ''

    def reset(self) -> None:
        """End any trial, after a restart of the engine."""
        self._running = ''
