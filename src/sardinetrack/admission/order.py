"""Which workspace is next at an engine: the least served one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.ask import Ask
from sardinetrack.admission.waiting import WaitingRoom, tokens_of
from sardinetrack.fairness.recent import SharedService

JOIN_PART: Final = 0.9
"""Part of the most service of those that wait from which a newcomer starts.

The rest is its head start: a lone pilot still goes first, and who was really
passed over is made up to by a tenth. Service fades with a time constant of
5.8 s, so who had the engine for itself pauses for 5.8 s * ln(1 + N / 10) before
N newcomers: 0.55 s before one, 1.9 s before four. With three quarters it is
1.3 s before one, and longer where the newcomer's entries are many and tell
late.
"""


@dataclass(frozen=True, slots=True)
class Ahead:
    """What goes to the engine before a request."""

    tokens: float
    """To be read."""
    requests: int


class ServiceOrder:
    """Orders the workspaces that wait by what they were served anywhere.

    Priorities are no part of it: by them a workspace that floods the fleet
    would shut out all less urgent ones for as long as it likes.
    """

    def __init__(self, room: WaitingRoom) -> None:
        """Order those that wait in a room."""
        self._room = room
        self._service = SharedService()

    def hear(
        self,
        now: float,
        entry: str,
        served: Iterable[tuple[str, float]],
    ) -> None:
        """Take an entry's word on what workspaces were served anywhere.

        :param served: names and tokens.
        """
        for workspace, tokens in served:
            self._service.hear(now, entry, workspace, tokens)

    def granted(self, now: float, ask: Ask) -> None:
        """Note service."""
        self._service.add(now, ask.entry, ask.workspace, ask.cost)

    def join(self, now: float, workspace: str) -> None:
        """Let a workspace that comes in start near those that wait.

        What another one was served while nobody else asked is no debt. Were
        the newcomer at zero, it alone would be served until it has had as
        much, and who used the idle engines before would starve for seconds.
        Newcomers of one moment start alike: were each a tenth below the last
        one, the eighth would start from less than half.
        """
        if self._room.of(workspace):
            return
        waiting = [
            self._service.tokens(now, name) for name in self._room.workspaces
        ]
        if waiting:
            start = min(*waiting, JOIN_PART * max(waiting))
            self._service.lift(now, workspace, start)

    def next_workspace(self, now: float) -> str:
        """Find the least served one of those that wait."""
        return min(
            self._room.workspaces,
            key=lambda name: self._service.tokens(now, name),
        )

    def ahead_of(self, now: float, ask: Ask) -> Ahead:
        """Tell what goes before a request that comes now.

        Of another workspace goes first what brings it to the service that
        this one has when its turn comes.
        """
        own = self._room.before(ask)
        own_tokens = tokens_of(own)
        level = self._service.tokens(now, ask.workspace) + own_tokens
        others = float(0)
        requests = len(own)
        for workspace in self._room.workspaces:
            if workspace == ask.workspace:
                continue
            queue = self._room.of(workspace)
            behind = level - self._service.tokens(now, workspace)
            if behind > 0:
                others += min(tokens_of(queue), behind)
                requests += len(queue)
        return Ahead(own_tokens + others, requests)
