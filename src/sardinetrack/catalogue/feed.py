"""Follow the catalogue in the platform: list once, then watch."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.catalogue.api import CATALOGUE_PREFIX
from sardinetrack.catalogue.coverage import platform_update
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.api import ConfigUpdate
from sardinetrack.store.api import (
    Listing,
    NoAnswerError,
    Platform,
    PlatformError,
    WatchLostError,
)
from sardinetrack.store.backoff import Backoff

WATCH_SECONDS: Final = 2.0
"""How long one watch waits.

A watch whose connection was cut without a word is noticed when it should
have been answered, so this is part of the time until a change is in force.
"""

_REPEAT_SECONDS: Final = 0.1

_LOG: Final = PartLogger(Part.CATALOGUE)


@dataclass
class FeedCalls:
    """Calls that a feed made on the platform."""

    lists: int = 0
    watches: int = 0
    failures: int = 0


class CatalogueFeed:
    """A task that reads the catalogue and hands on what changes.

    It writes nothing. On errors it goes on from the revision that it has. It
    lists again when the platform no longer knows that revision, and after a
    watch whose answer did not come.
    """

    def __init__(
        self,
        platform: Platform,
        updates: MemoryObjectSendStream[ConfigUpdate],
        *,
        watch_seconds: float = WATCH_SECONDS,
        chance: random.Random | None = None,
    ) -> None:
        """Build a feed.

        :param platform: where the catalogue is.
        :param updates: where the updates go; the feed closes it.
        :param watch_seconds: longest wait of one watch.
        :param chance: source of the jitter after errors.
        """
        self.calls = FeedCalls()
        self._platform = platform
        self._updates = updates
        self._watch_seconds = watch_seconds
        self._backoff = Backoff(chance or random.Random())
        self._revision: int | None = None
        self._watch_broke = False

    async def run(self) -> None:
        """Follow the catalogue until cancelled."""
        with self._updates:
            while True:
                await self._step()

    async def _step(self) -> None:
        try:
            update = await self._read()
        except PlatformError as error:
            if isinstance(error, WatchLostError):
                self._revision = None
            # Where watches break whenever there is news, a list still tells
            # it. An outage refuses calls, and costs no list.
            self._watch_broke = isinstance(error, NoAnswerError)
            await self._pause(error)
        else:
            await self._updates.send(update)

    async def _read(self) -> ConfigUpdate:
        after_revision = None if self._watch_broke else self._revision
        if after_revision is None:
            listing = await self._list()
        else:
            listing = await self._watch(after_revision)
        self._revision = listing.revision
        self._watch_broke = False
        return platform_update(after_revision or 0, listing)

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
            # Old news again: asking on at once would ask without end.
            await anyio.sleep(_REPEAT_SECONDS)
        # Not after a list: a platform that answers each list but loses each
        # watch would be listed without a pause.
        self._backoff.reset()
        return listing

    async def _pause(self, error: PlatformError) -> None:
        self.calls.failures += 1
        wait_seconds = self._backoff.wait_seconds(error)
        _LOG.warning(
            'no news from the platform',
            error=str(error),
            retry_seconds=wait_seconds,
        )
        await anyio.sleep(wait_seconds)
