"""Polls the platform's list of instances."""

from __future__ import annotations

import random
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.membership.api import MembershipChange
from sardinetrack.membership.view import MembershipView
from sardinetrack.store.api import Platform, PlatformError
from sardinetrack.store.backoff import Backoff

_POLL_INTERVAL_SECONDS: Final = 1.0
_MIN_JITTER_FACTOR: Final = 0.9
_MAX_JITTER_FACTOR: Final = 1.1

_LOG: Final = ComponentLogger(LogComponent.MEMBERSHIP)


class MembershipFeed:
    """A task that sends each change of the list to a stream.

    While the platform is down the last list stays in effect: a failed read is
    no reason to consider an instance removed.
    """

    def __init__(
        self,
        platform: Platform,
        changes: MemoryObjectSendStream[MembershipChange],
        *,
        poll_seconds: float = _POLL_INTERVAL_SECONDS,
        rng: random.Random | None = None,
    ) -> None:
        """Create a feed.

        :param platform: source of the list.
        :param changes: receives the changes; the feed closes it.
        :param poll_seconds: mean time between two reads.
        :param rng: random number generator for the jitter.
        """
        self.view = MembershipView()
        self.calls = 0
        self.failures = 0
        self._platform = platform
        self._changes = changes
        self._poll_seconds = poll_seconds
        self._rng = rng or random.Random()
        self._backoff = Backoff(self._rng)

    async def run(self) -> None:
        """Poll the list until cancelled."""
        with self._changes:
            while True:
                wait_seconds = await self._poll()
                await anyio.sleep(wait_seconds)

    async def _poll(self) -> float:
        self.calls += 1
        try:
            listed = await self._platform.instances()
        except PlatformError as error:
            return self._handle_failure(error)
        self._backoff.reset()
        for change in self.view.update(listed):
            await self._changes.send(change)
        jitter_factor = self._rng.uniform(
            _MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR
        )
        return self._poll_seconds * jitter_factor

    def _handle_failure(self, error: PlatformError) -> float:
        self.failures += 1
        wait_seconds = self._backoff.next_delay_seconds(error)
        _LOG.warning(
            'could not read the instance list; keeping the last one',
            error=str(error),
            retry_seconds=wait_seconds,
        )
        return wait_seconds
