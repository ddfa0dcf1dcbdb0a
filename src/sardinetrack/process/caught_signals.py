"""The signals of a process, from its first statement to its end.

It is loaded before everything else, so it imports no more than it needs.
"""

from __future__ import annotations

import signal

_STOPS = (signal.SIGTERM, signal.SIGINT)
CAUGHT = (*_STOPS, signal.SIGHUP)


class CaughtSignals:
    """Records signals until something handles them.

    A signal without a handler ends the process. An event loop has handlers only
    while it runs: a process that loads its libraries or waits for its settings
    has none yet, and one whose loop is closed has none any more.
    """

    def __init__(self) -> None:
        """Start without signals; none is caught yet."""
        self.stop_requested = False
        self._reload_requested = False

    def catch(self) -> None:
        """Record the signals from now on."""
        for number in CAUGHT:
            signal.signal(number, self._record)

    def ignore(self) -> None:
        """Ignore the signals until the process has ended.

        The interpreter restores the default actions of caught signals while it
        shuts down, but not of ignored ones.
        """
        for number in CAUGHT:
            signal.signal(number, signal.SIG_IGN)

    def take_reload(self) -> bool:
        """Return whether settings have changed since the last call."""
        requested = self._reload_requested
        self._reload_requested = False
        return requested

    def _record(self, number: int, _frame: object) -> None:
        if number == signal.SIGHUP:
            self._reload_requested = True
        else:
            self.stop_requested = True
