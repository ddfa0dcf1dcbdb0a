"""Reads one kind of objects from the store and watches them."""

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
from sardinetrack.topology.outage import StoreAccess

CONFIGURATION_WATCH_SECONDS: Final = 1.0
"""How long a watch of the configuration waits.

Changes arrive immediately. If the response to a watch is lost, this shows only
after the wait and the time for the response; a change must be in effect 2 s
after the store has accepted it.
"""
SERVERS_WATCH_SECONDS: Final = 0.8
"""The same for the servers: a server that leaves must get no request 2 s
later, and the request takes time too."""
EVACUATIONS_WATCH_SECONDS: Final = 2.0
"""The same for evacuations, which must be in effect after 5 s."""
CHANGE_BATCH_SECONDS: Final = 0.2
"""Delay after a change, so that one response delivers several changes.

When all servers register at the same time, each would otherwise cost every
entry a call. A tenth of the time after which a change has to be in effect.
"""
INITIAL_BACKOFF_SECONDS: Final = 0.1
_BACKOFF_FACTOR: Final = 2.0
FAULT_BACKOFF_SECONDS: Final = 0.5
"""Delay before everything is listed again after a fault of this process."""


class FeedListener(ABC):
    """Receives what a feed reads."""

    @abstractmethod
    def listed(self, listing: Listing) -> None:
        """Replace all objects."""

    @abstractmethod
    def changed(self, stored: StoredObject) -> None:
        """Apply one new, changed or deleted object."""

    @abstractmethod
    def confirmed(self, asked_seconds: float) -> None:
        """Record that the view was complete at a time of the boot clock."""

    @abstractmethod
    def lost(self, failed_seconds: float) -> None:
        """Handle that the store does not respond.

        :param failed_seconds: when the last call that failed was sent, by the
            boot clock.
        """

    @abstractmethod
    def returned(self, failed_seconds: float) -> None:
        """Handle that the store responds again.

        :param failed_seconds: see :meth:`lost`; another feed may have failed
            later.
        """


class Feed:
    """Lists, then watches; lists again when the store dropped its history."""

    def __init__(
        self,
        access: StoreAccess,
        prefix: str,
        follower: FeedListener,
        log: EventLog,
        wait_seconds: float,
    ) -> None:
        """Start without having read anything.

        :param access: to the store.
        :param prefix: of the keys of the objects.
        :param follower: receives the objects and their changes.
        :param wait_seconds: how long a watch call waits for a change.
        """
        self._access = access
        self._prefix = prefix
        self._follower = follower
        self._log = log
        self._wait_seconds = wait_seconds
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._unreachable = False
        self._asked_seconds = access.clock()

    @property
    def unreachable(self) -> bool:
        """Whether the store did not respond to the last call."""
        return self._unreachable

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            try:
                await self._follow()
            except WatchLostError:
                self._log.write(Event.HISTORY_LOST, what=self._prefix)
            except PlatformError as error:
                await self._back_off(error)
            except Exception as error:
                # A feed that ended would leave its view as it is for ever.
                self._log.write(
                    Event.FAULT, what=self._prefix, cause=repr(error)
                )
                await asyncio.sleep(FAULT_BACKOFF_SECONDS)

    async def _follow(self) -> None:
        self._asked_seconds = self._access.clock()
        listing = await self._access.store.list(self._prefix)
        self._handle_response()
        self._follower.listed(listing)
        self._follower.confirmed(self._asked_seconds)
        revision = listing.revision
        while True:
            self._asked_seconds = self._access.clock()
            changes = await self._access.store.watch(
                self._prefix,
                after_revision=revision,
                wait_seconds=self._wait_seconds,
            )
            for stored in changes.objects:
                self._follower.changed(stored)
            self._handle_response()
            self._follower.confirmed(self._asked_seconds)
            revision = max(revision, changes.revision)
            if changes.objects:
                await asyncio.sleep(CHANGE_BATCH_SECONDS)

    def _handle_response(self) -> None:
        if self._unreachable:
            self._log.write(Event.STORE_BACK, what=self._prefix)
            self._unreachable = False
            self._follower.returned(self._access.backoff.failed_seconds)
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._access.backoff.record_response()

    async def _back_off(self, error: PlatformError) -> None:
        if not self._unreachable:
            self._log.write(
                Event.STORE_LOST,
                what=self._prefix,
                cause=str(error),
            )
        self._unreachable = True
        backoff = self._access.backoff
        backoff.record_failure(self._asked_seconds)
        self._follower.lost(backoff.failed_seconds)
        await backoff.wait(self._backoff_seconds)
        grown = self._backoff_seconds * _BACKOFF_FACTOR
        self._backoff_seconds = min(grown, backoff.maximum_seconds)
