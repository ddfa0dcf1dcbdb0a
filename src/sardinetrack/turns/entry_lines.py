"""A side's end of its connection to one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinetrack.turns.lines import LineProtocol
from sardinetrack.turns.messages import (
    DECODE_FROM_ENTRY,
    AskTurn,
    Begun,
    Ended,
    Hello,
    ServerStarted,
    Struck,
)
from sardinetrack.views.api import Follower
from sardinetrack.views.messages import (
    FollowView,
    FromFollower,
    FromWatcher,
    LeaveView,
    StampView,
)

if TYPE_CHECKING:
    from sardinetrack.turns.side import Side


class EntryLines(LineProtocol, Follower):
    """One entry's connection."""

    def __init__(self, side: Side) -> None:
        """Belong to a side."""
        super().__init__()
        self.entry = ''
        self.asked: set[str] = set()
        self._side = side

    def opened(self) -> None:
        """Join the entries."""
        self._side.join(self)

    def lost(self) -> None:
        """Leave the entries."""
        self._side.leave(self)

    def line(self, line: bytes) -> None:
        """Hand a message on."""
        message = DECODE_FROM_ENTRY(line)
        match message:
            case AskTurn():
                self.asked.add(message.ask_id)
                self._side.take(self, message)
            case Begun():
                self._side.begun(message.ask_id)
            case Ended():
                self.asked.discard(message.ask_id)
                self._side.ended(message.ask_id, whole=message.whole)
            case Hello():
                self.entry = message.entry
                self._side.met(self, message)
            case Struck():
                self._side.struck(self, message)
            case ServerStarted():
                self._side.started(self, message)
            case _:
                self._follow(message)

    def _follow(self, message: FromFollower) -> None:
        watcher = self._side.watcher
        match message:
            case FollowView():
                watcher.follow(self, message.stamp_seconds)
            case StampView():
                watcher.stamp(self, message.stamp_seconds)
            case LeaveView():
                watcher.leave(self)

    def tell(self, message: FromWatcher) -> None:
        """Tell the entry of the store."""
        self.send(message)
