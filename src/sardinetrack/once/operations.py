"""What entries ask of a shard: claims, and the ends of claims."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from sardinetrack.entry.claims import ClaimAnswer, ClaimRequest
from sardinetrack.once.record import ClaimState, digest_key


@dataclass(eq=False, slots=True)
class ClaimOperation:
    """Wants to be the only one with its key."""

    request: ClaimRequest
    done: anyio.Event = field(default_factory=anyio.Event)
    answer: ClaimAnswer | None = None
    """Set before ``done``; ``None`` then means that no answer can be had."""
    retry_after_seconds: float | None = None
    abandoned: bool = False
    """Nobody waits any more: what was claimed must be released."""
    maybe_written: bool = False
    """A write that holds it was tried and its reply was lost."""

    @property
    def key(self) -> str:
        """The key's digest."""
        return digest_key(self.request.workspace, self.request.key)

    def settle(self, answer: ClaimAnswer) -> None:
        """Answer the one who waits."""
        self.answer = answer
        self.done.set()

    def fail(self, retry_after_seconds: float | None) -> None:
        """Tell the one who waits that nothing is claimed."""
        self.abandoned = True
        self.retry_after_seconds = retry_after_seconds
        self.done.set()


@dataclass(eq=False, slots=True)
class EndOperation:
    """Ends a claim; kept until it is written."""

    request: ClaimRequest
    state: ClaimState
    """``FREE`` for a request that surely did not run."""
    valid_until_seconds: float = 0
    """Until then the claim surely stands; 0 when it may not have come about."""
    done: anyio.Event = field(default_factory=anyio.Event)

    @property
    def key(self) -> str:
        """The key's digest."""
        return digest_key(self.request.workspace, self.request.key)


Operation = ClaimOperation | EndOperation


def release_of(operation: ClaimOperation) -> EndOperation:
    """Take back a claim that nobody waits for."""
    return EndOperation(operation.request, ClaimState.FREE)
