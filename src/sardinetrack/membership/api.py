"""Changes of the list of instances."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.store.api import ListedInstance


@dataclass(frozen=True, slots=True)
class Joined:
    """An instance is live."""

    row: ListedInstance


@dataclass(frozen=True, slots=True)
class Leaving:
    """An instance takes no new work; this is final for its id."""

    row: ListedInstance


@dataclass(frozen=True, slots=True)
class Gone:
    """An instance is no longer listed."""

    row: ListedInstance


MembershipChange = Joined | Leaving | Gone
