"""Idempotency keys: one claim for each key, over the whole fleet."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request that wants to be the only one with its key."""

    workspace: str
    key: str
    request_hash: str
    """Hash of what would run; a resend has the same one."""
    attempt_id: str
    """Unique to this arrival; tells one's own claim from another's."""
    settled_within_seconds: float
    """After this time the request surely runs no longer."""


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request may run; the claim has to be finished or released."""

    claim: ClaimRequest
    valid_until_seconds: float
    """Nobody else can claim the key before; seconds since the epoch."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """A request with this key is in progress."""


@dataclass(frozen=True, slots=True)
class AlreadyFinished:
    """A request with this key has run."""


@dataclass(frozen=True, slots=True)
class OutcomeLost:
    """A request with this key may have run; nobody will ever know."""


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used with another request."""


ClaimAnswer = (
    Claimed | AlreadyRunning | AlreadyFinished | OutcomeLost | Mismatch
)


class ClaimEnd(StrEnum):
    """How a claimed request ended, when it may have run."""

    FINISHED = 'finished'
    UNKNOWN = 'unknown'


class ClaimsDownError(Exception):
    """Claims can't be written now; the request was not claimed."""

    def __init__(self, retry_after_seconds: float | None = None) -> None:
        """Remember when to come back."""
        super().__init__('claims cannot be written')
        self.retry_after_seconds = retry_after_seconds


class Claims(ABC):
    """The record of idempotency keys."""

    @abstractmethod
    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key before its request is dispatched.

        :raises ClaimsDownError: no answer can be had; nothing is claimed.
        """

    @abstractmethod
    async def finish(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Record the end of a request that ran or may have run."""

    @abstractmethod
    async def release(self, claimed: Claimed) -> None:
        """Forget the claim of a request that surely did not run."""
