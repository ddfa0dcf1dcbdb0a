"""Changes of the list of instances."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.store.api import ListedInstance


@dataclass(frozen=True, slots=True)
class InstanceJoined:
    """A live instance was added to the list."""

    row: ListedInstance


@dataclass(frozen=True, slots=True)
class InstanceLeaving:
    """An instance is shutting down and takes no new requests.

    This is permanent for its id.
    """

    row: ListedInstance


@dataclass(frozen=True, slots=True)
class InstanceRemoved:
    """An instance is no longer listed."""

    row: ListedInstance


MembershipChange = InstanceJoined | InstanceLeaving | InstanceRemoved
