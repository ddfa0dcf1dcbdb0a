"""Wait until an edit is in force at every instance."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final

import anyio
from msgspec import Struct

from sardinetrack.store.api import PlatformError

Discover = Callable[[], Awaitable[Sequence[str]]]
"""Tells the addresses of the instances to ask."""

_POLL_SECONDS: Final = 0.2


class ConfigStatus(Struct, frozen=True):
    """What an instance says about its configuration."""

    instance: str
    revision: int
    digest: str
    rejected: dict[str, tuple[str, ...]] = {}


Fetch = Callable[[str], Awaitable[ConfigStatus | None]]
"""Asks one address; ``None`` when it does not answer."""


class Rollout(Struct, frozen=True):
    """How far an edit has come."""

    in_force: tuple[str, ...]
    """Addresses of the instances that have it."""
    behind: tuple[str, ...]
    """Addresses that lack it or do not answer."""
    rejected: dict[str, tuple[str, ...]]
    """By instance: why it refuses the entry."""

    @property
    def complete(self) -> bool:
        """Tell whether every instance has the edit in force."""
        return self.settled and not self.rejected

    @property
    def settled(self) -> bool:
        """Tell whether every instance took the edit in or refused it."""
        return bool(self.in_force or self.rejected) and not self.behind


async def wait_in_force(
    discover: Discover,
    fetch: Fetch,
    *,
    key: str,
    version: int,
    timeout_seconds: float,
) -> Rollout:
    """Ask all instances until each knows a version, or time is up.

    :param discover: the instances; asked anew each time, as they come and go.
    :param fetch: the question to one instance.
    :param key: the entry that was edited.
    :param version: its version; a revision not below it includes it.
    :param timeout_seconds: when to give up.
    :return: the state at the end.
    """
    rollout = Rollout((), (), {})
    with anyio.move_on_after(timeout_seconds):
        while True:
            answers = await _ask_all(discover, fetch)
            rollout = _rollout(answers, key, version)
            if rollout.settled:
                return rollout
            await anyio.sleep(_POLL_SECONDS)
    return rollout


async def _ask_all(
    discover: Discover,
    fetch: Fetch,
) -> dict[str, ConfigStatus | None]:
    answers: dict[str, ConfigStatus | None] = {}
    try:
        addresses = await discover()
    except PlatformError:
        return answers
    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(_ask, fetch, address, answers)
    return answers


async def _ask(
    fetch: Fetch,
    address: str,
    answers: dict[str, ConfigStatus | None],
) -> None:
    answers[address] = await fetch(address)


def _rollout(
    answers: Mapping[str, ConfigStatus | None],
    key: str,
    version: int,
) -> Rollout:
    in_force = []
    behind = []
    rejected = {}
    for address, status in sorted(answers.items()):
        if status is None or status.revision < version:
            behind.append(address)
            continue
        reasons = status.rejected.get(key)
        if reasons:
            rejected[status.instance] = reasons
        else:
            in_force.append(address)
    return Rollout(tuple(in_force), tuple(behind), rejected)
