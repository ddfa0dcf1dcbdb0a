"""Nodes by address, connections between them, and what goes wrong there."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

import anyio

from benchmarks.chaos.virtual.pipe import Pipe

if TYPE_CHECKING:
    from benchmarks.chaos.virtual.node import Node

HOP_SECONDS: Final = 0.001
_CONNECT_SECONDS: Final = 2.0
_LOSS: Final = 0.05
_RESEND_SECONDS: Final = 0.4

CURRENT: ContextVar[Node] = ContextVar('node')
"""The node whose task runs."""


class RefusedError(Exception):
    """No connection: not one byte left."""


@dataclass(eq=False)
class Connection:
    """A fake connection."""

    caller: str
    target: str
    there: Pipe
    back: Pipe

    def cut(self) -> None:
        """Reset it at both ends, at once."""
        self.there.cut()
        self.back.cut()


@dataclass
class Network:
    """Delays, cuts, holds and losses."""

    random: Random
    nodes: dict[str, Node] = field(default_factory=dict)
    connections: set[Connection] = field(default_factory=set)
    added_seconds: float = 0
    loss: bool = False
    astray: float = 0
    """Part of the orders that arrive late, whether in time too or not."""
    refused: set[frozenset[str]] = field(default_factory=set)
    halves: dict[str, int] = field(default_factory=dict)
    """Set during a partition; a node in none reaches all others."""
    frozen: set[str] = field(default_factory=set)
    _parked: set[Pipe] = field(default_factory=set)

    def delay(self) -> float:
        """Draw the delay of one hop; a lost packet is sent again later."""
        seconds = HOP_SECONDS * self.random.uniform(0.5, 1.5)
        if self.loss and self.random.random() < _LOSS:
            seconds += _RESEND_SECONDS * self.random.random()
        return seconds + self.added_seconds * self.random.random()

    def holds(self, one: str, other: str) -> bool:
        """Whether bytes between two nodes stay under way."""
        if one in self.frozen or other in self.frozen:
            return True
        return self._apart(one, other)

    def park(self, pipe: Pipe) -> None:
        """Remember a pipe that holds something."""
        self._parked.add(pipe)

    def release(self) -> None:
        """Deliver what nothing holds any more."""
        parked = tuple(self._parked)
        self._parked.clear()
        for pipe in parked:
            pipe.flush()

    @contextmanager
    def connected(self, connection: Connection) -> Iterator[Connection]:
        """Hold a connection; the other end sees it close."""
        try:
            yield connection
        finally:
            connection.there.end()

    async def connect(self, target: str) -> Connection:
        """Open a connection from the running node.

        :raises RefusedError: there is none.
        """
        caller = CURRENT.get().address
        await anyio.sleep(2 * self.delay())
        if self._apart(caller, target):
            await anyio.sleep(_CONNECT_SECONDS)
        node = self.nodes.get(target)
        if node is None or not self._opens(caller, node):
            raise RefusedError(target)
        connection = Connection(
            caller,
            target,
            Pipe(self, caller, target),
            Pipe(self, target, caller),
        )
        self.connections.add(connection)
        node.take(connection)
        return connection

    def cut(self, one: str, other: str) -> None:
        """Reset all connections between two nodes."""
        for connection in tuple(self.connections):
            if {connection.caller, connection.target} == {one, other}:
                connection.cut()

    def bury(self, name: str) -> None:
        """Let all peers of a dead node learn, unless they are cut off."""
        for connection in tuple(self.connections):
            if connection.caller == name:
                connection.there.end()
                connection.back.cut()
            elif connection.target == name:
                connection.back.end()
                connection.there.cut()

    def _opens(self, caller: str, node: Node) -> bool:
        if not node.listens or not CURRENT.get().alive:
            return False
        if self._apart(caller, node.address):
            return False
        return frozenset((caller, node.address)) not in self.refused

    def _apart(self, one: str, other: str) -> bool:
        halves = (self.halves.get(one), self.halves.get(other))
        return None not in halves and halves[0] != halves[1]
