"""Wait until an edit is active at every instance."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final

import anyio
from msgspec import Struct

from sardinetrack.store.api import PlatformError

Discover = Callable[[], Awaitable[Sequence[str]]]
"""Returns the addresses of the instances to query."""

_POLL_INTERVAL_SECONDS: Final = 0.2


class ConfigStatus(Struct, frozen=True):
    """The state of an instance's configuration."""

    instance: str
    revision: int
    digest: str
    rejected: dict[str, tuple[str, ...]] = {}


Fetch = Callable[[str], Awaitable[ConfigStatus | None]]
"""Queries one address; ``None`` if it does not respond."""


class Rollout(Struct, frozen=True):
    """Progress of an edit."""

    in_force: tuple[str, ...]
    """Addresses of the instances where it is active."""
    behind: tuple[str, ...]
    """Addresses that lack it or do not respond."""
    rejected: dict[str, tuple[str, ...]]
    """By instance: why it rejects the catalogue entry."""

    @property
    def complete(self) -> bool:
        """Whether the edit is active at every instance."""
        return self.settled and not self.rejected

    @property
    def settled(self) -> bool:
        """Whether every instance has activated or rejected the edit."""
        return bool(self.in_force or self.rejected) and not self.behind


async def wait_until_active(
    discover: Discover,
    fetch: Fetch,
    *,
    key: str,
    version: int,
    timeout_seconds: float,
) -> Rollout:
    """Query all instances until each has a version, or the time is up.

    :param discover: lists the instances; called again each time, since
        instances are added and removed.
    :param fetch: queries one instance.
    :param key: the catalogue entry that was edited.
    :param version: its version; a revision that is not lower includes it.
    :param timeout_seconds: maximum wait.
    :return: the state at the end.
    """
    rollout = Rollout((), (), {})
    with anyio.move_on_after(timeout_seconds):
        while True:
            statuses = await _fetch_all(discover, fetch)
            rollout = _rollout(statuses, key, version)
            if rollout.settled:
                return rollout
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
    return rollout


async def _fetch_all(
    discover: Discover,
    fetch: Fetch,
) -> dict[str, ConfigStatus | None]:
    statuses: dict[str, ConfigStatus | None] = {}
    try:
        addresses = await discover()
    except PlatformError:
        return statuses
    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(_fetch_one, fetch, address, statuses)
    return statuses


async def _fetch_one(
    fetch: Fetch,
    address: str,
    statuses: dict[str, ConfigStatus | None],
) -> None:
    statuses[address] = await fetch(address)


def _rollout(
    statuses: Mapping[str, ConfigStatus | None],
    key: str,
    version: int,
) -> Rollout:
    in_force = []
    behind = []
    rejected = {}
    for address, status in sorted(statuses.items()):
        if status is None or status.revision < version:
            behind.append(address)
            continue
        reasons = status.rejected.get(key)
        if reasons:
            rejected[status.instance] = reasons
        else:
            in_force.append(address)
    return Rollout(tuple(in_force), tuple(behind), rejected)
