"""Carries out the decisions about a lease in the platform."""

from __future__ import annotations

import logging
from typing import Final

import anyio

from sardinetrack.lease.decision import Acquire, Lease, SeenLease, WaitOut
from sardinetrack.lease.record import read_lease, write_lease
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    StoredObject,
    UncertainError,
)

_LOG: Final = logging.getLogger('sardinetrack.lease')
_RACE_PAUSE_SECONDS: Final = 0.2


class LeaseKeeper:
    """Acquires the lease when there is an order to give, and only then.

    Nothing is renewed: a lease that nobody needs costs no call.
    """

    def __init__(self, platform: Platform, key: str, lease: Lease) -> None:
        """Remember the parts.

        :param key: of the lease object.
        """
        self.lease = lease
        self._platform = platform
        self._key = key

    async def acquire(self, *, checks_fencing: bool) -> None:
        """Return when the lease is held; it may lapse at any time after.

        :raises PlatformError: it can't be had now.
        """
        while self.lease.seconds_left(anyio.current_time()) <= 0:
            seen = _seen(await self._platform.get(self._key))
            step = self.lease.seek(
                anyio.current_time(),
                seen,
                checks_fencing=checks_fencing,
            )
            await self._take(step)

    async def _take(self, step: Acquire | WaitOut) -> None:
        if isinstance(step, WaitOut):
            _LOG.info('lease: waiting out another holder key=%s', self._key)
            await anyio.sleep(step.seconds)
        elif not await self._write(step):
            _LOG.info('lease: lost a race key=%s', self._key)
            await anyio.sleep(_RACE_PAUSE_SECONDS)

    async def _write(self, step: Acquire) -> bool:
        began_at = anyio.current_time()
        try:
            stored = await self._platform.put(
                self._key,
                write_lease(step.record),
                expected_version=step.expected_version,
            )
        except ConflictError as error:
            return self._settle(began_at, step, error.current)
        except UncertainError:
            # The write may have taken effect while its reply was lost: the
            # holder and the term that stand there tell.
            current = await self._platform.get(self._key)
            return self._settle(began_at, step, current)
        return self._settle(began_at, step, stored)

    def _settle(
        self,
        began_at: float,
        step: Acquire,
        current: StoredObject | None,
    ) -> bool:
        seen = _seen(current)
        if seen.record != step.record:
            return False
        self.lease.acquired(began_at, seen.version)
        _LOG.info('lease: held key=%s fencing=%d', self._key, seen.version)
        return True


def _seen(stored: StoredObject | None) -> SeenLease:
    if stored is None or stored.deleted:
        return SeenLease(0, None)
    return SeenLease(stored.version, read_lease(stored.value))
