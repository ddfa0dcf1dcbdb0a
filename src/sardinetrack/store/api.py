"""Abstract object API of the platform, and its errors."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

MAX_VALUE_BYTES: Final = 1_000_000
"""Largest value that the platform stores."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object in the platform's store."""

    key: str
    version: int
    """Increases with every write to any object; never 0."""
    value: bytes
    """JSON text of at most one megabyte; empty when ``deleted``."""
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects under a prefix at one revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


class InstanceState(StrEnum):
    """State of an instance in the platform's list, which lags."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One record of the platform's lagging list of instances."""

    instance: str
    role: str
    """``entry`` or ``side``."""
    address: str
    """Peer address, as ``IP:port``."""
    failure_domain: str
    pool: str = ''
    """The pool of a side's backend server; empty for an entry."""
    backend_server: str = ''
    state: InstanceState = InstanceState.LIVE


class PlatformError(Exception):
    """A call on the platform failed."""


class UnavailableError(PlatformError):
    """The call did not reach the platform or was rejected before any effect."""


class NoResponseError(UnavailableError):
    """A read was sent, but no complete response arrived in time."""


class ThrottledError(UnavailableError):
    """The platform rejected the call because of its rate; it had no effect."""

    def __init__(self, retry_after_seconds: float) -> None:
        """Create the error.

        :param retry_after_seconds: delay after which the call may be repeated.
        """
        super().__init__('throttled')
        self.retry_after_seconds = retry_after_seconds


class UncertainError(PlatformError):
    """The response was lost: a write may or may not have taken effect."""


class ConflictError(PlatformError):
    """A conditional write found another version than the expected one."""

    def __init__(self, current: StoredObject | None) -> None:
        """Create the error.

        :param current: the object that is stored now; ``None`` if there is
            none.
        """
        super().__init__('version conflict')
        self.current = current


class CallRejectedError(PlatformError):
    """The platform permanently rejects this call: its token, size or format."""


class WatchLostError(PlatformError):
    """The watch can't resume at this revision; list again."""


@dataclass(slots=True)
class StoreCounters:
    """Counters of a client of the store since its start."""

    calls: int = 0
    unreadable: int = 0
    """Objects read that can't be decoded."""


class ObjectApi(ABC):
    """Objects with versions, conditional writes and watches."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Read one object; ``None`` if it does not exist."""

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
        :param expected_version: the version that the object must have; 0 if it
            must not exist; ``None`` for an unconditional write.
        :return: the object as written.
        :raises ConflictError: the object has another version.
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
        """Wait for changes after a revision; empty if there are none in time.

        Deleted objects are returned as ``deleted``. Events may lag and repeat.

        :raises WatchLostError: the revision is too old; list again.
        """


class Platform(ObjectApi):
    """All calls that the system makes on the platform; each is counted."""

    @abstractmethod
    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of instances."""
