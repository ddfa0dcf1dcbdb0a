"""Reads and writes the lease object as the lease decisions require."""

from __future__ import annotations

import logging
from typing import Final

import anyio

from sardinetrack.lease.decision import (
    Acquire,
    Lease,
    ObservedLease,
    WaitForExpiry,
)
from sardinetrack.lease.record import read_lease, write_lease
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    StoredObject,
    UncertainError,
)

_LOG: Final = logging.getLogger('sardinetrack.lease')
_CONFLICT_DELAY_SECONDS: Final = 0.2


class LeaseManager:
    """Acquires the lease only when there is a command to send.

    The lease is not renewed in the background: an unused lease costs no call.
    """

    def __init__(self, platform: Platform, key: str, lease: Lease) -> None:
        """Create a manager of one lease.

        :param platform: stores the lease object.
        :param key: of the lease object.
        :param lease: state of the lease.
        """
        self.lease = lease
        self._platform = platform
        self._key = key

    async def acquire(self, *, checks_fencing: bool) -> None:
        """Acquire the lease; it may expire at any time afterwards.

        :raises PlatformError: it can't be acquired at present.
        """
        while self.lease.seconds_left(anyio.current_time()) <= 0:
            observed = _observed(await self._platform.get(self._key))
            step = self.lease.plan_acquisition(
                anyio.current_time(),
                observed,
                checks_fencing=checks_fencing,
            )
            await self._perform(step)

    async def _perform(self, step: Acquire | WaitForExpiry) -> None:
        if isinstance(step, WaitForExpiry):
            _LOG.info(
                "lease: waiting for another holder's lease to expire key=%s",
                self._key,
            )
            await anyio.sleep(step.seconds)
        elif not await self._write(step):
            _LOG.info(
                'lease: another holder wrote the lease first key=%s', self._key
            )
            await anyio.sleep(_CONFLICT_DELAY_SECONDS)

    async def _write(self, step: Acquire) -> bool:
        began_at = anyio.current_time()
        try:
            stored = await self._platform.put(
                self._key,
                write_lease(step.record),
                expected_version=step.expected_version,
            )
        except ConflictError as error:
            return self._check_written(began_at, step, error.current)
        except UncertainError:
            # The write may have taken effect although its response was lost:
            # the stored holder and term show whether it did.
            current = await self._platform.get(self._key)
            return self._check_written(began_at, step, current)
        return self._check_written(began_at, step, stored)

    def _check_written(
        self,
        began_at: float,
        step: Acquire,
        current: StoredObject | None,
    ) -> bool:
        observed = _observed(current)
        if observed.record != step.record:
            return False
        self.lease.record_acquired(began_at, observed.version)
        _LOG.info(
            'lease: acquired key=%s fencing=%d', self._key, observed.version
        )
        return True


def _observed(stored: StoredObject | None) -> ObservedLease:
    if stored is None or stored.deleted:
        return ObservedLease(0, None)
    return ObservedLease(stored.version, read_lease(stored.value))
