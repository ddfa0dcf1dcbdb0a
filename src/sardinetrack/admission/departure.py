"""Whether a backend server is leaving, by its responses."""

from __future__ import annotations

_NEVER = float('-inf')


class Departure:
    """Begins with a response that says so, ends when the server has restarted.

    A server that leaves says so in every response, so one without it to a
    request that was sent afterwards comes from its next process.
    """

    def __init__(self) -> None:
        self.is_active = False
        self._stated_seconds = _NEVER
        """When a response last said so, monotonic."""
        self._restarted_seconds = _NEVER
        """A request sent until then may have reached the earlier process."""

    def responded(
        self, now: float, sent_seconds: float, *, leaving: bool
    ) -> None:
        """Apply a response.

        :param now: monotonic time.
        :param sent_seconds: when its request was sent.
        :param leaving: whether it says that the server is leaving.
        """
        if not leaving:
            self.restarted(sent_seconds)
        elif sent_seconds > self._restarted_seconds:
            self.is_active = True
            self._stated_seconds = now

    def restarted(self, since_seconds: float) -> None:
        """Apply evidence of another process of the server.

        :param since_seconds: the process that was leaving had ended by then.
        """
        if self.is_active and since_seconds > self._stated_seconds:
            self.is_active = False
            self._restarted_seconds = since_seconds
