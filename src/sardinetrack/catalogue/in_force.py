"""The entries in force, and who owns a token or model that two claim.

The entry with the older version keeps it; versions are unique, so that every
node decides alike from the same entries.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.catalogue.record import Change, KeyRecord


@dataclass
class InForce:
    """Entries in force with their indexes."""

    workspaces: dict[str, Workspace] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    by_token_hash: dict[str, Workspace] = field(default_factory=dict)
    by_model: dict[str, Pool] = field(default_factory=dict)
    denied: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """By key: the claims that lost against an older entry."""

    def add(self, key: str, entry: Workspace | Pool) -> None:
        """Put an entry in force, less what older ones own already."""
        if isinstance(entry, Workspace):
            reasons = self._add_workspace(entry)
        else:
            reasons = self._add_pool(entry)
        if reasons:
            self.denied[key] = reasons

    def _add_workspace(self, entry: Workspace) -> tuple[str, ...]:
        taken = entry.token_hashes & self.by_token_hash.keys()
        granted = entry
        if taken:
            left = entry.token_hashes - taken
            granted = replace(entry, token_hashes=left)
        self.workspaces[granted.name] = granted
        self.by_token_hash.update(
            dict.fromkeys(granted.token_hashes, granted),
        )
        return _denials('token_hashes', taken, self.by_token_hash)

    def _add_pool(self, entry: Pool) -> tuple[str, ...]:
        taken = self.by_model.keys() & set(entry.models)
        granted = entry
        if taken:
            left = (model for model in entry.models if model not in taken)
            granted = replace(entry, models=tuple(left))
        self.pools[granted.name] = granted
        self.by_model.update(dict.fromkeys(granted.models, granted))
        return _denials('models', taken, self.by_model)


def settle(records: Iterable[KeyRecord]) -> InForce:
    """Put all good entries in force, oldest version first."""
    in_force = InForce()
    settled = [record.settled for record in records if record.in_force]
    for change in sorted(settled, key=_version_of):
        if change.entry is not None:
            in_force.add(change.origin.key, change.entry)
    return in_force


def _denials(
    place: str,
    taken: Collection[str],
    owners: Mapping[str, Workspace | Pool],
) -> tuple[str, ...]:
    if not taken:
        return ()
    return tuple(
        f'{place}: {claim} belongs to {owners[claim].name}'
        for claim in sorted(taken)
    )


def _version_of(change: Change) -> int:
    return change.version
