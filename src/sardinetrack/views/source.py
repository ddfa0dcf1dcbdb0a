"""Follow the store alone, or by the word of a neighbour that watches it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from sardinetrack.charts.typed import TypedChart
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.topology.feed import Feed
from sardinetrack.topology.outage import StoreWay
from sardinetrack.views.api import Inbox, Neighbour, Neighbours
from sardinetrack.views.borrowed import BorrowedView
from sardinetrack.views.messages import (
    FollowView,
    FromWatcher,
    LeaveView,
    StampView,
    ViewConfirmed,
    ViewLost,
    ViewObjects,
)

LATE_SECONDS: Final = 1.5
"""Longest pause between two confirmations of a neighbour that is trusted.

A watcher's calls wait 1 s. One that was cut from the store silently is left
after this, and the store asked directly: what was changed meanwhile is in
force 1.6 s later at the most, of the 2 s that the users allow.
"""
JOIN_SECONDS: Final = 6.0
"""How long a neighbour may take until its view is as new as the own one."""
FIRST_PAUSE_SECONDS: Final = 0.5
"""How long an instance watches alone before it asks a neighbour."""
MOST_PAUSE_SECONDS: Final = 4.0
"""The same after failures in a row: each try makes one more side watch."""
_GROWTH: Final = 2.0
AVOID_SECONDS: Final = 10.0
"""How long a neighbour that has failed is not asked again."""
STAY_SECONDS: Final = 30.0
"""How long one is followed though another is asked first by now.

After an outage the entries follow several; each one more that watches costs
1.5 calls a second, and to change costs an entry four."""


class ViewState(StrEnum):
    """Where the view comes from."""

    OWN = 'own'
    JOINING = 'joining'
    BORROWED = 'borrowed'


class ViewEvent(StrEnum):
    """What moves it."""

    ASKED = 'asked'
    CAUGHT_UP = 'caught_up'
    FAILED = 'failed'


_CHART: Final = TypedChart('view', ViewState, ViewEvent)


@dataclass(frozen=True, slots=True)
class OwnFeeds:
    """The own ways to the store."""

    feeds: Sequence[Feed]
    way: StoreWay

    @property
    def away(self) -> bool:
        """Whether the store does not answer this instance."""
        return any(feed.unreachable for feed in self.feeds)


class ViewSource(Inbox):
    """Keeps every view of this instance up to date.

    An instance that watches for itself makes 0.75 calls a second to the
    store, and one more for each change. With this only one in a failure
    domain, or in a small fleet one in all, does so.
    """

    def __init__(
        self,
        own: OwnFeeds,
        views: Mapping[str, BorrowedView],
        neighbours: Neighbours,
        log: EventLog,
    ) -> None:
        """Prepare.

        :param own: they feed the views.
        :param views: by prefix.
        """
        self._clock = own.way.clock
        self._own = own
        self._views = views
        self._neighbours = neighbours
        self._log = log
        self._chart = _CHART.start()
        self._neighbour: Neighbour | None = None
        self._avoided: dict[str, float] = {}
        self._heard_seconds = float(0)
        self._borrowed_seconds = float(0)
        self._changed = asyncio.Event()

    @property
    def borrowed(self) -> bool:
        """Whether a neighbour's word is in force."""
        return self._chart.state is ViewState.BORROWED

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            async with asyncio.TaskGroup() as group:
                own = [
                    group.create_task(feed.run()) for feed in self._own.feeds
                ]
                await self._join()
                for task in own:
                    task.cancel()
            await self._stay()

    def take(self, name: str, message: FromWatcher) -> None:
        """Take a message; those of a neighbour that was left are late ones."""
        if self._neighbour is None or self._neighbour.name != name:
            return
        match message:
            case ViewObjects():
                self._told(message)
            case ViewConfirmed():
                self._sure(self._neighbour, message)
            case ViewLost():
                self._store_lost(message)

    def lost(self, name: str) -> None:
        """Note that a neighbour is gone."""
        if self._neighbour is not None and self._neighbour.name == name:
            self._fail('gone')

    def _store_lost(self, message: ViewLost) -> None:
        """Stay with a neighbour whose call has failed until it is late.

        It asks again within 0.1 s, and a single call fails often: when the
        store drops its history, it cuts every watch. Were the neighbour left
        at each, all its followers would list everything anew.

        One that is asked to tell while the store answers neither here nor
        there is likely to be in the same outage, and asks for both.
        """
        if self.borrowed:
            for view in self._views.values():
                view.outage()
        elif self._own.away:
            self._own.way.backoff.neighbour_retries = True
        else:
            self._fail(message.cause)

    def _told(self, message: ViewObjects) -> None:
        view = self._views.get(message.prefix)
        if view is not None:
            view.told(message)

    def _sure(self, neighbour: Neighbour, message: ViewConfirmed) -> None:
        view = self._views.get(message.prefix)
        if view is None:
            return
        view.sure(message)
        self._heard_seconds = self._clock()
        neighbour.tell(StampView(self._clock()))
        joining = self._chart.state is ViewState.JOINING
        if joining and all(one.ready for one in self._views.values()):
            self._borrow()
        elif self._should_move(neighbour):
            self._leave('another is asked first')

    def _should_move(self, neighbour: Neighbour) -> bool:
        now = self._clock()
        if not self.borrowed or now < self._borrowed_seconds + STAY_SECONDS:
            return False
        first = self._next(now - STAY_SECONDS)
        return first is not None and first.name != neighbour.name

    def _borrow(self) -> None:
        self._chart.fire(ViewEvent.CAUGHT_UP)
        self._borrowed_seconds = self._clock()
        self._own.way.backoff.neighbour_retries = False
        for view in self._views.values():
            view.borrow()
        self._changed.set()

    async def _join(self) -> None:
        """Return once a neighbour's view is in force."""
        pause_seconds = FIRST_PAUSE_SECONDS
        while not self.borrowed:
            await asyncio.sleep(pause_seconds)
            neighbour = self._next(self._clock())
            if neighbour is not None:
                grown = pause_seconds * _GROWTH
                pause_seconds = min(MOST_PAUSE_SECONDS, grown)
                await self._try(neighbour)
        assert self._neighbour is not None  # noqa: S101
        self._log.write(
            Event.VIEW_BORROWED,
            neighbour=self._neighbour.name,
        )

    async def _stay(self) -> None:
        """Return when the neighbour's word can't be relied on any more."""
        while self.borrowed:
            late_seconds = self._heard_seconds + LATE_SECONDS - self._clock()
            if late_seconds <= 0:
                self._fail('late')
            else:
                await self._wait_change(late_seconds)

    async def _try(self, neighbour: Neighbour) -> None:
        self._neighbour = neighbour
        self._chart.fire(ViewEvent.ASKED)
        neighbour.tell(FollowView(self._clock()))
        await self._wait_change(JOIN_SECONDS)
        if self._chart.state is ViewState.JOINING:
            self._fail('not caught up')

    def _next(self, now: float) -> Neighbour | None:
        return next(
            (
                neighbour
                for neighbour in self._neighbours.ranked()
                if self._avoided.get(neighbour.name, 0) <= now
            ),
            None,
        )

    def _fail(self, cause: str) -> None:
        neighbour = self._neighbour
        if neighbour is None:
            return
        now = self._clock()
        self._avoided = {
            name: until
            for name, until in self._avoided.items()
            if now < until + STAY_SECONDS
        }
        self._avoided[neighbour.name] = now + AVOID_SECONDS
        self._leave(cause)

    def _leave(self, cause: str) -> None:
        neighbour = self._neighbour
        assert neighbour is not None  # noqa: S101
        self._neighbour = None
        self._log.write(
            Event.VIEW_OWN,
            neighbour=neighbour.name,
            cause=cause,
            was=self._chart.state,
            heard_seconds=round(self._clock() - self._heard_seconds, 3),
        )
        self._chart.fire(ViewEvent.FAILED)
        self._own.way.backoff.neighbour_retries = False
        for view in self._views.values():
            view.drop()
        if neighbour.live:
            neighbour.tell(LeaveView())
        self._changed.set()

    async def _wait_change(self, seconds: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return
