"""Nodes by address, the connections between them, and network faults."""

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
_LOSS_PROBABILITY: Final = 0.05
_RETRANSMISSION_SECONDS: Final = 0.4

CURRENT: ContextVar[Node] = ContextVar('node')
"""The node to which the running task belongs."""


class RefusedError(Exception):
    """The connection was refused; no bytes were sent."""


@dataclass(eq=False)
class Connection:
    """A fake connection."""

    caller: str
    target: str
    forward: Pipe
    backward: Pipe

    def reset(self) -> None:
        """Reset both directions immediately."""
        self.forward.reset()
        self.backward.reset()


@dataclass
class Network:
    """Nodes and connections, with delays, resets, partitions and losses."""

    random: Random
    nodes: dict[str, Node] = field(default_factory=dict)
    connections: set[Connection] = field(default_factory=set)
    added_seconds: float = 0
    loss: bool = False
    late_fraction: float = 0
    """Fraction of the run requests that arrive late, or late and in time."""
    refused: set[frozenset[str]] = field(default_factory=set)
    partition_groups: dict[str, int] = field(default_factory=dict)
    """Set during a partition; a node in no group reaches all others."""
    frozen: set[str] = field(default_factory=set)
    _withheld_pipes: set[Pipe] = field(default_factory=set)

    def delay(self) -> float:
        """Draw the delay of one hop; a lost packet is retransmitted later."""
        seconds = HOP_SECONDS * self.random.uniform(0.5, 1.5)
        if self.loss and self.random.random() < _LOSS_PROBABILITY:
            seconds += _RETRANSMISSION_SECONDS * self.random.random()
        return seconds + self.added_seconds * self.random.random()

    def withholds(self, one: str, other: str) -> bool:
        """Whether bytes between two nodes are withheld."""
        if one in self.frozen or other in self.frozen:
            return True
        return self._is_partitioned(one, other)

    def add_withheld(self, pipe: Pipe) -> None:
        """Add a pipe that withholds something."""
        self._withheld_pipes.add(pipe)

    def release(self) -> None:
        """Deliver everything that was withheld."""
        pipes = tuple(self._withheld_pipes)
        self._withheld_pipes.clear()
        for pipe in pipes:
            pipe.flush()

    @contextmanager
    def connected(self, connection: Connection) -> Iterator[Connection]:
        """Close the client's end of a connection when the context ends."""
        try:
            yield connection
        finally:
            connection.forward.end()

    async def connect(self, target: str) -> Connection:
        """Open a connection from the running node.

        :raises RefusedError: the target does not accept it.
        """
        caller = CURRENT.get().address
        await anyio.sleep(2 * self.delay())
        if self._is_partitioned(caller, target):
            await anyio.sleep(_CONNECT_SECONDS)
        node = self.nodes.get(target)
        if node is None or not self._accepts(caller, node):
            raise RefusedError(target)
        connection = Connection(
            caller,
            target,
            Pipe(self, caller, target),
            Pipe(self, target, caller),
        )
        self.connections.add(connection)
        node.accept(connection)
        return connection

    def reset(self, one: str, other: str) -> None:
        """Reset all connections between two nodes."""
        for connection in tuple(self.connections):
            if {connection.caller, connection.target} == {one, other}:
                connection.reset()

    def close_connections(self, name: str) -> None:
        """Close all connections of a stopped node at their other ends."""
        for connection in tuple(self.connections):
            if connection.caller == name:
                connection.forward.end()
                connection.backward.reset()
            elif connection.target == name:
                connection.backward.end()
                connection.forward.reset()

    def _accepts(self, caller: str, node: Node) -> bool:
        if not node.is_listening or not CURRENT.get().is_running:
            return False
        if self._is_partitioned(caller, node.address):
            return False
        return frozenset((caller, node.address)) not in self.refused

    def _is_partitioned(self, one: str, other: str) -> bool:
        partition_groups = (
            self.partition_groups.get(one),
            self.partition_groups.get(other),
        )
        return (
            None not in partition_groups
            and partition_groups[0] != partition_groups[1]
        )
