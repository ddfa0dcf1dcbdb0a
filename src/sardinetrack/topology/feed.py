"""Follow one kind of objects in the store for as long as it runs."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.store.api import (
    Listing,
    PlatformError,
    StoredObject,
    WatchLostError,
)
from sardinetrack.topology.outage import StoreWay

CONFIRM_SECONDS: Final = 1.6
"""How long a watch waits whose answers confirm the view.

The view is two waits old at most, 3.2 s of the 4.3 s in which keyed work is
served; changes come at once all the same.
"""
CALM_SECONDS: Final = 8.0
"""How long a watch waits that only brings changes.

A silent connection is found by its keep-alive probes, not by the wait.
Together with the above 0.75 calls a second and entry in place of 2.
"""
SETTLE_SECONDS: Final = 0.2
"""Pause after a change, so that changes in a row come in one answer.

When all servers register at once each would cost every entry a call; a tenth
of the time in which a change has to be in force.
"""
FIRST_PAUSE_SECONDS: Final = 0.1
_GROWTH: Final = 2.0


class Follower(ABC):
    """Takes what a feed reads."""

    @abstractmethod
    def listed(self, listing: Listing) -> None:
        """Take over all objects."""

    @abstractmethod
    def changed(self, stored: StoredObject) -> None:
        """Take one new, changed or deleted object."""

    @abstractmethod
    def confirmed(self, asked_seconds: float) -> None:
        """Note that the view was whole at that time of the boot clock."""

    @abstractmethod
    def lost(self) -> None:
        """Note that the store does not answer."""


class Feed:
    """Lists, then watches; lists again when the history is gone."""

    def __init__(
        self,
        way: StoreWay,
        prefix: str,
        follower: Follower,
        log: EventLog,
        wait_seconds: float,
    ) -> None:
        """Remember what to follow."""
        self._way = way
        self._prefix = prefix
        self._follower = follower
        self._log = log
        self._wait_seconds = wait_seconds
        self._pause_seconds = FIRST_PAUSE_SECONDS
        self._away = False

    @property
    def away(self) -> bool:
        """Whether the store did not answer the last call."""
        return self._away

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._follow()
            except WatchLostError:
                self._log.write(Event.HISTORY_LOST, what=self._prefix)
            except PlatformError as error:
                await self._wait_out(error)

    async def _follow(self) -> None:
        asked_seconds = self._way.clock()
        listing = await self._way.store.list(self._prefix)
        self._answered()
        self._follower.listed(listing)
        self._follower.confirmed(asked_seconds)
        revision = listing.revision
        while True:
            asked_seconds = self._way.clock()
            changes = await self._way.store.watch(
                self._prefix,
                after_revision=revision,
                wait_seconds=self._wait_seconds,
            )
            for stored in changes.objects:
                self._follower.changed(stored)
            self._answered()
            self._follower.confirmed(asked_seconds)
            revision = max(revision, changes.revision)
            if changes.objects:
                await asyncio.sleep(SETTLE_SECONDS)

    def _answered(self) -> None:
        if self._away:
            self._log.write(Event.STORE_BACK, what=self._prefix)
            self._away = False
            self._follower.lost()
        self._pause_seconds = FIRST_PAUSE_SECONDS
        self._way.outage.answered()

    async def _wait_out(self, error: PlatformError) -> None:
        if not self._away:
            self._log.write(
                Event.STORE_LOST,
                what=self._prefix,
                cause=str(error),
            )
        self._away = True
        self._follower.lost()
        outage = self._way.outage
        await outage.pause(self._pause_seconds)
        grown = self._pause_seconds * _GROWTH
        self._pause_seconds = min(grown, outage.most_pause_seconds)
