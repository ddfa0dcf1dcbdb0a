"""Poll the platform's list of instances."""

from __future__ import annotations

import random
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.membership.api import MembershipChange
from sardinetrack.membership.view import MembershipView
from sardinetrack.store.api import Platform, PlatformError
from sardinetrack.store.backoff import Backoff

_POLL_SECONDS: Final = 1.0
_LEAST_SPREAD: Final = 0.9
_MOST_SPREAD: Final = 1.1

_LOG: Final = PartLogger(Part.MEMBERSHIP)


class MembershipFeed:
    """A task that hands on each change of the list.

    While the platform is down the last list stays: instances are not taken
    for gone because nobody can tell of them.
    """

    def __init__(
        self,
        platform: Platform,
        changes: MemoryObjectSendStream[MembershipChange],
        *,
        poll_seconds: float = _POLL_SECONDS,
        chance: random.Random | None = None,
    ) -> None:
        """Build a feed.

        :param platform: where the list is.
        :param changes: where the changes go; the feed closes it.
        :param poll_seconds: mean time between two reads.
        :param chance: source of the jitter.
        """
        self.view = MembershipView()
        self.calls = 0
        self.failures = 0
        self._platform = platform
        self._changes = changes
        self._poll_seconds = poll_seconds
        self._chance = chance or random.Random()
        self._backoff = Backoff(self._chance)

    async def run(self) -> None:
        """Follow the list until cancelled."""
        with self._changes:
            while True:
                wait_seconds = await self._poll()
                await anyio.sleep(wait_seconds)

    async def _poll(self) -> float:
        self.calls += 1
        try:
            listed = await self._platform.instances()
        except PlatformError as error:
            return self._failed(error)
        self._backoff.reset()
        for change in self.view.update(listed):
            await self._changes.send(change)
        spread = self._chance.uniform(_LEAST_SPREAD, _MOST_SPREAD)
        return self._poll_seconds * spread

    def _failed(self, error: PlatformError) -> float:
        self.failures += 1
        wait_seconds = self._backoff.wait_seconds(error)
        _LOG.warning(
            'the last list stays',
            error=str(error),
            retry_seconds=wait_seconds,
        )
        return wait_seconds
