"""The check of fencing numbers, which some backend servers make."""

from __future__ import annotations


class Fence:
    """Refuses numbers older than the newest seen."""

    def __init__(self, *, checks: bool) -> None:
        """Start without a number.

        :param checks: ``False`` admits every number.
        """
        self._checks = checks
        self.newest = 0

    def admits(self, number: int) -> bool:
        """Check a number and remember it if it is the newest."""
        if self._checks and number < self.newest:
            return False
        self.newest = max(self.newest, number)
        return True

    def forget(self) -> None:
        """Start again without a number, as after a restart."""
        self.newest = 0
