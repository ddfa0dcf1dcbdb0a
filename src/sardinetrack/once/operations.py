"""Operations on a shard: claims, and the ends of claims."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from sardinetrack.entry.claims import ClaimRequest, ClaimResult
from sardinetrack.once.record import ClaimState, digest_key


@dataclass(eq=False, slots=True)
class ClaimOperation:
    """Claims a key for one request."""

    request: ClaimRequest
    done: anyio.Event = field(default_factory=anyio.Event)
    result: ClaimResult | None = None
    """Set before ``done``; ``None`` then means that the claim has failed."""
    retry_after_seconds: float | None = None
    abandoned: bool = False
    """No request waits for it any more: a claim must be released."""
    maybe_written: bool = False
    """A write that holds it was sent and its response was lost."""

    @property
    def key(self) -> str:
        """Digest of the key."""
        return digest_key(self.request.workspace, self.request.key)

    def resolve(self, result: ClaimResult) -> None:
        """Return a result to the waiting request."""
        self.result = result
        self.done.set()

    def fail(self, retry_after_seconds: float | None) -> None:
        """Report to the waiting request that nothing is claimed."""
        self.abandoned = True
        self.retry_after_seconds = retry_after_seconds
        self.done.set()


@dataclass(eq=False, slots=True)
class EndOperation:
    """Ends a claim; retried until it is written."""

    request: ClaimRequest
    state: ClaimState
    """``FREE`` for a request that definitely did not run."""
    valid_until_seconds: float = 0
    """Until then (seconds since the epoch) the claim is definitely valid; 0 if
    it may not have been written."""
    done: anyio.Event = field(default_factory=anyio.Event)

    @property
    def key(self) -> str:
        """Digest of the key."""
        return digest_key(self.request.workspace, self.request.key)


Operation = ClaimOperation | EndOperation


def build_release(operation: ClaimOperation) -> EndOperation:
    """Build the release of a claim that no request waits for."""
    return EndOperation(operation.request, ClaimState.FREE)
