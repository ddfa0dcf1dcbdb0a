"""How an attempt is sent and followed until it ends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from sardinetrack.relay.api import KvSource
from sardinetrack.relay.attempt import ServerAttempt
from sardinetrack.relay.relief import Relief


async def await_end(attempt: ServerAttempt) -> bool:
    """Wait for the end of an attempt that is not moved."""
    await attempt.done
    return False


@dataclass(frozen=True, slots=True)
class SendMode:
    """What differs for an attempt whose stream may move, or has moved."""

    follow: Callable[[ServerAttempt], Awaitable[bool]] = await_end
    """Waits for the end; returns whether the server has stopped the run because
    it was asked to."""
    kv_source: KvSource | None = None
    """The attempt continues a run from this copy."""
    is_return: bool = False
    """The server, which leaves, has stopped the run itself and goes on with it.
    It accepts that like any other request only for a while."""
    relief: Relief | None = None
    """The attempt takes over from one whose server is silent."""
