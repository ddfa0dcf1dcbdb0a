"""Active catalogue entries, and the owner of a token or model claimed by two.

The catalogue entry with the older version keeps the claim. Versions are unique,
so every instance decides alike from the same catalogue.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.catalogue.record import Change, KeyRecord


@dataclass
class ActiveEntries:
    """Active catalogue entries with their indexes."""

    workspaces: dict[str, Workspace] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    by_token_hash: dict[str, Workspace] = field(default_factory=dict)
    by_model: dict[str, Pool] = field(default_factory=dict)
    lost_claims: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """By key: claims that belong to an older catalogue entry."""

    def add(self, key: str, catalogue_entry: Workspace | Pool) -> None:
        """Activate a catalogue entry without the claims that older ones own."""
        if isinstance(catalogue_entry, Workspace):
            reasons = self._add_workspace(catalogue_entry)
        else:
            reasons = self._add_pool(catalogue_entry)
        if reasons:
            self.lost_claims[key] = reasons

    def _add_workspace(self, catalogue_entry: Workspace) -> tuple[str, ...]:
        taken = catalogue_entry.token_hashes & self.by_token_hash.keys()
        remaining = catalogue_entry
        if taken:
            unclaimed = catalogue_entry.token_hashes - taken
            remaining = replace(catalogue_entry, token_hashes=unclaimed)
        self.workspaces[remaining.name] = remaining
        self.by_token_hash.update(
            dict.fromkeys(remaining.token_hashes, remaining),
        )
        return _describe_lost_claims('token_hashes', taken, self.by_token_hash)

    def _add_pool(self, catalogue_entry: Pool) -> tuple[str, ...]:
        taken = self.by_model.keys() & set(catalogue_entry.models)
        remaining = catalogue_entry
        if taken:
            unclaimed = (
                model for model in catalogue_entry.models if model not in taken
            )
            remaining = replace(catalogue_entry, models=tuple(unclaimed))
        self.pools[remaining.name] = remaining
        self.by_model.update(dict.fromkeys(remaining.models, remaining))
        return _describe_lost_claims('models', taken, self.by_model)


def resolve_claims(records: Iterable[KeyRecord]) -> ActiveEntries:
    """Activate all valid catalogue entries, oldest version first."""
    active_entries = ActiveEntries()
    valid_changes = [
        record.latest_valid for record in records if record.active_entry
    ]
    for change in sorted(valid_changes, key=_version_of):
        if change.catalogue_entry is not None:
            active_entries.add(change.config_object.key, change.catalogue_entry)
    return active_entries


def _describe_lost_claims(
    field_name: str,
    taken: Collection[str],
    owners: Mapping[str, Workspace | Pool],
) -> tuple[str, ...]:
    if not taken:
        return ()
    return tuple(
        f'{field_name}: {claim} belongs to {owners[claim].name}'
        for claim in sorted(taken)
    )


def _version_of(change: Change) -> int:
    return change.version
