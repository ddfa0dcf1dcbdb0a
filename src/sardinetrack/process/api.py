"""What a daemon lets its process do."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Drainable(ABC):
    """A daemon that can be asked to finish its work."""

    @abstractmethod
    async def run(self) -> None:
        """Return when a drain is over."""

    @abstractmethod
    async def drain(self) -> None:
        """Take no new work, finish what is in progress, then close."""
