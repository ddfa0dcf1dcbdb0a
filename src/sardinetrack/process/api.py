"""Interface of a daemon to the process that runs it."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Drainable(ABC):
    """A daemon that can be drained."""

    @abstractmethod
    async def run(self) -> None:
        """Run until a drain has completed."""

    @abstractmethod
    async def drain(self) -> None:
        """Accept no new requests, finish the running ones, then close."""
