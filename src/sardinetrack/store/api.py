"""Abstract object API of the platform, and its errors."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

MAX_VALUE_BYTES: Final = 1_000_000
"""Largest value that the platform holds."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as the platform holds it."""

    key: str
    version: int
    """Grows with every write to any object; 0 never occurs."""
    value: bytes
    """JSON text of at most one megabyte; empty when ``deleted``."""
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects under a prefix at one revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


class InstanceState(StrEnum):
    """What the lagging list says about an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's lagging list of instances."""

    instance: str
    role: str
    """``entry`` or ``side``."""
    address: str
    """``IP:port`` of the peer endpoint."""
    failure_domain: str
    pool: str = ''
    """The pool of a side's backend server; empty for an entry."""
    backend_server: str = ''
    state: InstanceState = InstanceState.LIVE


class PlatformError(Exception):
    """The platform did not do what was asked."""


class UnavailableError(PlatformError):
    """The call did not reach the platform or was refused before any effect."""


class NoAnswerError(UnavailableError):
    """A read was sent and its answer did not come whole or in time."""


class ThrottledError(UnavailableError):
    """The platform refused the call because of its rate; nothing happened."""

    def __init__(self, retry_after_seconds: float) -> None:
        """Remember when to come back."""
        super().__init__('throttled')
        self.retry_after_seconds = retry_after_seconds


class UncertainError(PlatformError):
    """The reply was lost: a write may or may not have taken effect."""


class ConflictError(PlatformError):
    """A conditional write found another version than the one expected."""

    def __init__(self, current: StoredObject | None) -> None:
        """Remember what stands there now, ``None`` for nothing."""
        super().__init__('version conflict')
        self.current = current


class RefusedError(PlatformError):
    """The platform will never take this call: token, size or shape."""


class WatchLostError(PlatformError):
    """The watch can't resume at this revision; list again."""


@dataclass(slots=True)
class StoreUse:
    """What a client of the store counts since its start."""

    calls: int = 0
    unreadable: int = 0
    """Objects read that can't be decoded."""


class ObjectApi(ABC):
    """Objects with versions, conditional writes and watches."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Read one object, ``None`` when there is none."""

    @abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally.

        :param key: the object's key.
        :param value: JSON text of at most one megabyte.
        :param expected_version: the version that must stand there; 0 for
            "nothing stands there"; ``None`` for an unconditional write.
        :return: the object as written.
        :raises ConflictError: another version stands there.
        """

    @abstractmethod
    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally; raises as ``put`` does.

        :return: the version of the deletion.
        """

    @abstractmethod
    async def list(self, prefix: str) -> Listing:
        """Read all objects whose key starts with the prefix."""

    @abstractmethod
    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_seconds: float,
    ) -> Listing:
        """Wait for changes after a revision; empty when none came in time.

        Deleted objects come as ``deleted``. Events may lag and repeat.

        :raises WatchLostError: the revision is too old; list again.
        """


class Platform(ObjectApi):
    """The calls that the system makes on the platform; each is counted."""

    @abstractmethod
    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of instances."""
