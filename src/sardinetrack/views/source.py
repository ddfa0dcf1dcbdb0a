"""Keeps views of the store up to date, directly or through a neighbour."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from sardinetrack.charts.typed import TypedStateChart
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.topology.feed import Feed
from sardinetrack.topology.outage import StoreAccess
from sardinetrack.views.api import (
    STORE_SOURCE,
    Neighbour,
    NeighbourList,
    ViewReceiver,
)
from sardinetrack.views.borrowed import BorrowedView
from sardinetrack.views.messages import (
    ClockView,
    FromWatcher,
    SubscribeView,
    UnsubscribeView,
    ViewConfirmed,
    ViewLost,
    ViewObjects,
)

JOIN_TIMEOUT_SECONDS: Final = 6.0
"""How long a neighbour may take until its view is as new as the direct one."""
INITIAL_BACKOFF_SECONDS: Final = 0.5
"""How long an instance watches alone before it subscribes to a neighbour."""
MAX_BACKOFF_SECONDS: Final = 4.0
"""The same after consecutive failures: each try makes another side watch."""
_BACKOFF_FACTOR: Final = 2.0
RETURN_SECONDS: Final = 3.0
"""How long after a failed call of this instance the store is asked directly as
soon as a neighbour can't reach it."""
AVOID_SECONDS: Final = 10.0
"""How long a neighbour that has failed is not tried again."""
MIN_STAY_SECONDS: Final = 30.0
"""How long a neighbour is kept though another one is preferred by now.

After an outage the entries subscribe to several neighbours. Each additional
one that watches costs 1.5 calls a second, and a switch costs an entry four
calls."""


class ViewState(StrEnum):
    """Source of the view."""

    OWN = 'own'
    JOINING = 'joining'
    BORROWED = 'borrowed'


class ViewEvent(StrEnum):
    """Event that changes the source."""

    ASKED = 'asked'
    CAUGHT_UP = 'caught_up'
    FAILED = 'failed'


_CHART: Final = TypedStateChart('view', ViewState, ViewEvent)


@dataclass(frozen=True, slots=True)
class DirectFeeds:
    """The feeds that read the store directly."""

    feeds: Sequence[Feed]
    access: StoreAccess

    @property
    def unreachable(self) -> bool:
        """Whether the store does not respond to this instance."""
        return any(feed.unreachable for feed in self.feeds)


class ViewSource(ViewReceiver):
    """Keeps every view of this instance up to date.

    An instance that watches the store directly makes 0.75 calls a second to
    it, and one more for each change. With borrowed views only one instance of
    a failure domain does so, or a single one in a small fleet.
    """

    def __init__(
        self,
        own: DirectFeeds,
        views: Mapping[str, BorrowedView],
        neighbours: NeighbourList,
        log: EventLog,
    ) -> None:
        """Start with the direct feeds as the source.

        :param own: the direct feeds, which update the views.
        :param views: by prefix.
        :param neighbours: may watch the store for this instance.
        """
        self._clock = own.access.clock
        self._own = own
        self._views = views
        self._neighbours = neighbours
        self._log = log
        self._chart = _CHART.start()
        self._neighbour: Neighbour | None = None
        self._avoided: dict[str, float] = {}
        self._received_seconds = float(0)
        self._borrowed_seconds = float(0)
        self._changed = asyncio.Event()

    @property
    def borrowed(self) -> bool:
        """Whether a neighbour's view is in effect."""
        return self._chart.state is ViewState.BORROWED

    @property
    def source(self) -> str:
        """Name of the neighbour whose view is in effect, else the store."""
        if self._neighbour is None or not self.borrowed:
            return STORE_SOURCE
        return self._neighbour.name

    async def run(self) -> None:
        """Keep the views up to date until cancelled."""
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
        """Handle a message; ignore those of a neighbour that was left."""
        if self._neighbour is None or self._neighbour.name != name:
            return
        match message:
            case ViewObjects():
                self._receive_objects(message)
            case ViewConfirmed():
                self._receive_confirmation(self._neighbour, message)
            case ViewLost():
                self._handle_store_lost(message)

    def lost(self, name: str) -> None:
        """Handle the loss of the connection to a neighbour."""
        if self._neighbour is not None and self._neighbour.name == name:
            self._fail('gone')

    def _handle_store_lost(self, message: ViewLost) -> None:
        """Stay with a neighbour whose call has failed until its view is old.

        It retries within 0.1 s, and single calls fail often: when the store
        drops its history, it ends every watch. If its subscribers left it each
        time, all of them would list everything again.

        A neighbour that fails during the subscription, while this instance
        can't reach the store either, is probably in the same outage. It then
        retries for both.

        Soon after an outage the store is probably unreachable again. This
        instance then has to know it before the grace period of its servers
        ends.
        """
        backoff = self._own.access.backoff
        if self.borrowed:
            if self._clock() < backoff.failed_seconds + RETURN_SECONDS:
                self._fail(message.cause)
            return
        if self._own.unreachable:
            backoff.neighbour_retries = True
        else:
            self._fail(message.cause)

    def _receive_objects(self, message: ViewObjects) -> None:
        view = self._views.get(message.prefix)
        if view is not None:
            view.receive_objects(message)

    def _receive_confirmation(
        self,
        neighbour: Neighbour,
        message: ViewConfirmed,
    ) -> None:
        view = self._views.get(message.prefix)
        if view is None:
            return
        view.receive_confirmation(message)
        self._received_seconds = self._clock()
        neighbour.send_message(ClockView(self._clock()))
        joining = self._chart.state is ViewState.JOINING
        if joining and all(one.ready for one in self._views.values()):
            self._borrow()
        elif self._should_switch(neighbour):
            self._leave('another neighbour is preferred')

    def _should_switch(self, neighbour: Neighbour) -> bool:
        now = self._clock()
        if not self.borrowed or now < self._borrowed_seconds + MIN_STAY_SECONDS:
            return False
        first = self._next_neighbour(now - MIN_STAY_SECONDS)
        return first is not None and first.name != neighbour.name

    def _borrow(self) -> None:
        self._chart.fire(ViewEvent.CAUGHT_UP)
        self._borrowed_seconds = self._clock()
        self._own.access.backoff.neighbour_retries = False
        for view in self._views.values():
            view.borrow()
        self._changed.set()

    async def _join(self) -> None:
        """Return once a neighbour's view is in effect."""
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while not self.borrowed:
            await asyncio.sleep(backoff_seconds)
            neighbour = self._next_neighbour(self._clock())
            if neighbour is not None:
                grown = backoff_seconds * _BACKOFF_FACTOR
                backoff_seconds = min(MAX_BACKOFF_SECONDS, grown)
                await self._try(neighbour)
        assert self._neighbour is not None  # noqa: S101
        self._log.write(
            Event.VIEW_BORROWED,
            neighbour=self._neighbour.name,
        )

    async def _stay(self) -> None:
        """Return when the neighbour is lost, or one of its views is too old.

        One feed of the neighbour may be silent while the others respond.
        """
        while self.borrowed:
            expires_seconds = min(
                view.expires_seconds for view in self._views.values()
            )
            left_seconds = expires_seconds - self._clock()
            if left_seconds <= 0:
                self._fail('late')
            else:
                await self._wait_change(left_seconds)

    async def _try(self, neighbour: Neighbour) -> None:
        self._neighbour = neighbour
        self._chart.fire(ViewEvent.ASKED)
        neighbour.send_message(SubscribeView(self._clock()))
        await self._wait_change(JOIN_TIMEOUT_SECONDS)
        if self._chart.state is ViewState.JOINING:
            self._fail('not caught up')

    def _next_neighbour(self, now: float) -> Neighbour | None:
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
            if now < until + MIN_STAY_SECONDS
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
            heard_seconds=round(self._clock() - self._received_seconds, 3),
        )
        self._chart.fire(ViewEvent.FAILED)
        self._own.access.backoff.neighbour_retries = False
        for view in self._views.values():
            view.reset()
        if neighbour.live:
            neighbour.send_message(UnsubscribeView())
        self._changed.set()

    async def _wait_change(self, seconds: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return
