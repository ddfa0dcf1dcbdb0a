"""Relays between processes, driven from a test's own thread."""

from __future__ import annotations

from contextlib import ExitStack
from types import TracebackType
from typing import Self

from anyio.from_thread import BlockingPortal, start_blocking_portal

from sardinetrack.standin.relay import Direction, Relay, relaying


class Wire:
    """One relay; every method returns when it has taken effect."""

    def __init__(self, portal: BlockingPortal, relay: Relay) -> None:
        """Wrap an open relay."""
        self._portal = portal
        self._relay = relay
        self.address = f'127.0.0.1:{relay.port}'

    def cut(self) -> None:
        """Break all connections and refuse others."""
        self._portal.call(self._relay.cut)

    def restore(self) -> None:
        """Take connections again."""
        self._portal.call(self._relay.restore)

    def freeze(self) -> None:
        """Hold all bytes."""
        self._portal.call(self._relay.freeze)

    def thaw(self) -> None:
        """Let the held bytes go on."""
        self._portal.call(self._relay.thaw)

    def strand(self) -> None:
        """Break the callers' ends of a frozen wire, which then flows again.

        What was sent before stays on its way until ``deliver``.
        """
        self._portal.call(self._relay.strand)
        self._portal.call(self._relay.thaw)

    def deliver(self) -> None:
        """Let what was stranded arrive."""
        self._portal.call(self._relay.deliver)

    def drop(self, direction: Direction) -> None:
        """Lose what goes one way."""
        self._portal.call(self._relay.drop, direction)

    def stop_dropping(self) -> None:
        """Lose nothing more."""
        self._portal.call(self._relay.stop_dropping)

    def delay(self, seconds: float) -> None:
        """Let all bytes arrive late from now on."""
        self._relay.delay_seconds = seconds


class Wires:
    """All wires of a fleet, on one thread of their own."""

    def __init__(self) -> None:
        """Start with none."""
        self._stack = ExitStack()
        self._portal: BlockingPortal

    def __enter__(self) -> Self:
        """Start the thread."""
        self._portal = self._stack.enter_context(start_blocking_portal())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all wires."""
        self._stack.close()

    def to(self, address: str) -> Wire:
        """Open a wire to ``IP:port``."""
        ip, _, port = address.rpartition(':')
        relay = self._stack.enter_context(
            self._portal.wrap_async_context_manager(relaying(ip, int(port))),
        )
        return Wire(self._portal, relay)
