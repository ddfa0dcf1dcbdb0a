"""Requests that wait for an engine, by workspace, in the order they came."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from sardinetrack.admission.ask import Ask


@dataclass(slots=True)
class Waiting:
    """One of them."""

    ask: Ask
    asked_seconds: float
    until_seconds: float
    """When it has waited for too long."""


class WaitingRoom:
    """Holds who waits; says nothing about which workspace is next.

    Of one workspace those that can still be in time go before those that are
    late already. Under overload somebody has to be late; were both served in
    the order they came, those that wait their turn would be late as well.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._queues: dict[str, deque[Waiting]] = {}

    def __len__(self) -> int:
        """Count the requests."""
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Waiting]:
        """Go through all that wait."""
        for queue in self._queues.values():
            yield from queue

    @property
    def workspaces(self) -> Collection[str]:
        """Name those that have a request here."""
        return self._queues.keys()

    @property
    def tokens(self) -> int:
        """Sum up what is to be read."""
        return tokens_of(self)

    def of(self, workspace: str) -> Collection[Waiting]:
        """List the requests of one workspace."""
        return self._queues.get(workspace, ())

    def first(self, workspace: str) -> Ask:
        """Find what a workspace that waits asked for first."""
        return self._queues[workspace][0].ask

    def before(self, ask: Ask) -> list[Waiting]:
        """List the requests of its workspace that go before one."""
        return [
            one
            for one in self.of(ask.workspace)
            if ask.is_late or not one.ask.is_late
        ]

    def put(self, one: Waiting) -> None:
        """Let a request wait behind those of its workspace that go first."""
        queue = self._queues.setdefault(one.ask.workspace, deque())
        queue.insert(len(self.before(one.ask)), one)

    def take_first(self, workspace: str) -> Ask:
        """Take out what a workspace asked for first."""
        one = self._queues[workspace].popleft()
        self._drop_empty(workspace)
        return one.ask

    def remove(self, ask_id: str) -> bool:
        """Take out one request.

        :return: whether it was here.
        """
        for one in self:
            if one.ask.ask_id == ask_id:
                self._queues[one.ask.workspace].remove(one)
                self._drop_empty(one.ask.workspace)
                return True
        return False

    def take_expired(self, now: float) -> list[Waiting]:
        """Take out what has waited for too long."""
        expired = [one for one in self if one.until_seconds <= now]
        for one in expired:
            self._queues[one.ask.workspace].remove(one)
            self._drop_empty(one.ask.workspace)
        return expired

    def _drop_empty(self, workspace: str) -> None:
        if not self._queues[workspace]:
            self._queues.pop(workspace)


def tokens_of(waiting: Iterable[Waiting]) -> int:
    """Sum up what some requests have to read."""
    return sum(one.ask.new_tokens for one in waiting)
