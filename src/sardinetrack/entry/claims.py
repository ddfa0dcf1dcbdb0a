"""Idempotency keys: one claim for each key, across the whole fleet."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Requests the exclusive right to run with an idempotency key."""

    workspace: str
    key: str
    request_hash: str
    """Hash of what would run; equal for a resend."""
    attempt_id: str
    """Unique to this arrival; distinguishes its own claim from another's."""
    settled_within_seconds: float
    """After this time the request definitely no longer runs."""


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request may run; the claim has to be finished or released."""

    request: ClaimRequest
    valid_until_seconds: float
    """The key cannot be claimed again before; seconds since the epoch."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """A request with this key is in progress."""


@dataclass(frozen=True, slots=True)
class AlreadyFinished:
    """A request with this key has run."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A request with this key may have run; its outcome is not known."""


@dataclass(frozen=True, slots=True)
class RequestMismatch:
    """The key was used with a different request."""


ClaimResult = (
    Claimed
    | AlreadyRunning
    | AlreadyFinished
    | OutcomeUnknown
    | RequestMismatch
)


class ClaimOutcome(StrEnum):
    """The outcome of a claimed request that may have run."""

    FINISHED = 'finished'
    UNKNOWN = 'unknown'


class ClaimStoreUnavailableError(Exception):
    """Claims can't be written at present; the request was not claimed."""

    def __init__(self, retry_after_seconds: float | None = None) -> None:
        """Set the delay.

        :param retry_after_seconds: when the request is worth retrying; ``None``
            if unknown.
        """
        super().__init__('the claim store is unavailable')
        self.retry_after_seconds = retry_after_seconds


class ClaimStore(ABC):
    """Stores the claims of idempotency keys."""

    @abstractmethod
    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Claim a key before its request is dispatched.

        :raises ClaimStoreUnavailableError: the store is unavailable; nothing is
            claimed.
        """

    @abstractmethod
    async def finish(self, claimed: Claimed, end: ClaimOutcome) -> None:
        """Record the outcome of a request that ran or may have run."""

    @abstractmethod
    async def release(self, claimed: Claimed) -> None:
        """Delete the claim of a request that definitely did not run."""
