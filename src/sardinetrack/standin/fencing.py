"""The check of fencing tokens that some backend servers make."""

from __future__ import annotations


class FencingCheck:
    """Rejects fencing tokens older than the newest one seen."""

    def __init__(self, *, checks: bool) -> None:
        """Build a check that has seen no token.

        :param checks: ``False`` admits every token.
        """
        self._checks = checks
        self.newest = 0

    def admits(self, token: int) -> bool:
        """Return whether a token is accepted; record it if it is the newest."""
        if self._checks and token < self.newest:
            return False
        self.newest = max(self.newest, token)
        return True

    def reset(self) -> None:
        """Clear the newest token, as after a restart."""
        self.newest = 0
