"""Follows the catalogue in the platform: lists it once, then watches it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.catalogue.api import CATALOGUE_PREFIX
from sardinetrack.catalogue.coverage import update_from_listing
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.api import ConfigUpdate
from sardinetrack.store.api import (
    Listing,
    NoResponseError,
    Platform,
    PlatformError,
    WatchLostError,
)
from sardinetrack.store.backoff import Backoff

MAX_WATCH_SECONDS: Final = 2.0
"""Maximum wait of one watch.

A watch whose connection was interrupted without notice is detected when its
response is due, so this is part of the time until a change is active.
"""

_REPEAT_DELAY_SECONDS: Final = 0.1

_LOG: Final = ComponentLogger(LogComponent.CATALOGUE)


@dataclass
class FeedCalls:
    """Numbers of calls that a feed made on the platform."""

    lists: int = 0
    watches: int = 0
    failures: int = 0


class CatalogueFeed:
    """A task that reads the catalogue and sends its changes as updates.

    It writes nothing. After an error it continues from its latest revision. It
    lists again when the platform no longer knows that revision, and after a
    watch that got no response.
    """

    def __init__(
        self,
        platform: Platform,
        updates: MemoryObjectSendStream[ConfigUpdate],
        *,
        watch_seconds: float = MAX_WATCH_SECONDS,
        rng: random.Random | None = None,
    ) -> None:
        """Create a feed.

        :param platform: the platform whose store contains the catalogue.
        :param updates: stream for the updates; the feed closes it.
        :param watch_seconds: maximum wait of one watch.
        :param rng: random number generator for the jitter after errors.
        """
        self.calls = FeedCalls()
        self._platform = platform
        self._updates = updates
        self._watch_seconds = watch_seconds
        self._backoff = Backoff(rng or random.Random())
        self._revision: int | None = None
        self._watch_failed = False

    async def run(self) -> None:
        """Follow the catalogue until cancelled."""
        with self._updates:
            while True:
                await self._update_once()

    async def _update_once(self) -> None:
        try:
            update = await self._read()
        except PlatformError as error:
            if isinstance(error, WatchLostError):
                self._revision = None
            # If watches fail whenever there is a change, a list still returns
            # it. In an outage calls are rejected, which causes no list.
            self._watch_failed = isinstance(error, NoResponseError)
            await self._back_off(error)
        else:
            await self._updates.send(update)

    async def _read(self) -> ConfigUpdate:
        after_revision = None if self._watch_failed else self._revision
        if after_revision is None:
            listing = await self._list()
        else:
            listing = await self._watch(after_revision)
        self._revision = listing.revision
        self._watch_failed = False
        return update_from_listing(after_revision or 0, listing)

    async def _list(self) -> Listing:
        self.calls.lists += 1
        return await self._platform.list(CATALOGUE_PREFIX)

    async def _watch(self, after_revision: int) -> Listing:
        self.calls.watches += 1
        listing = await self._platform.watch(
            CATALOGUE_PREFIX,
            after_revision=after_revision,
            wait_seconds=self._watch_seconds,
        )
        if listing.objects and listing.revision <= after_revision:
            # Only known changes were returned: without a delay the watches
            # would form an endless loop.
            await anyio.sleep(_REPEAT_DELAY_SECONDS)
        # No reset after a list: a platform that responds to every list but not
        # to watches would be listed without a delay.
        self._backoff.reset()
        return listing

    async def _back_off(self, error: PlatformError) -> None:
        self.calls.failures += 1
        delay_seconds = self._backoff.next_delay_seconds(error)
        _LOG.warning(
            'reading the catalogue from the platform failed; retrying',
            error=str(error),
            retry_seconds=delay_seconds,
        )
        await anyio.sleep(delay_seconds)
