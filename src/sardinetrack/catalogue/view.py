"""The configuration as one instance knows it; no I/O.

Changes come from lists, watches and peer instances; they may be late, repeated
and in any order. The view keeps, for each key, the newest change and the newest
valid one, and the revision up to which it is complete. If it is complete up to
a revision and has no record of a key, the key was deleted. This prevents a
stale peer from restoring a deleted catalogue entry, without keeping a record of
every deletion indefinitely.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import reduce
from operator import xor
from typing import Final

from sardinetrack.catalogue.active_entries import ActiveEntries, resolve_claims
from sardinetrack.catalogue.api import Pool, PoolClass, Workspace
from sardinetrack.catalogue.coverage import (
    complete_after,
    complete_update,
    sorted_changes,
)
from sardinetrack.catalogue.record import KeyRecord, absent_at, validate_change
from sardinetrack.messages.api import ConfigDigest, ConfigObject, ConfigUpdate

_INITIAL_REVISION: Final = 0
_MAX_KEPT_DELETIONS: Final = 1024


@dataclass(frozen=True, slots=True)
class RejectedCatalogueEntry:
    """A catalogue entry, or a claim of one, that is not active."""

    key: str
    version: int
    reasons: tuple[str, ...]


class CatalogueView:
    """Active workspaces and pools at one instance; never reverts to older."""

    def __init__(self, *, kept_deletions: int = _MAX_KEPT_DELETIONS) -> None:
        """Create an empty view.

        :param kept_deletions: number of deletions kept so that they can be sent
            one by one; a peer that is further behind gets everything.
        """
        self.revision = _INITIAL_REVISION
        self._kept_deletions = kept_deletions
        self._records: dict[str, KeyRecord] = {}
        # Every deletion after this revision still has a record.
        self._deletions_kept_after = _INITIAL_REVISION
        self._active = ActiveEntries()
        self._digest = _digest_of(self._records)

    def apply(self, update: ConfigUpdate) -> bool:
        """Apply changes from any source.

        :return: whether any active catalogue entry changed.
        """
        merged = [
            self._merge(config_object)
            for config_object in sorted_changes(update)
        ]
        dropped = self._apply_completeness(update)
        if not any(merged) and not dropped:
            return False
        self._discard_old_deletions()
        before = self._active
        self._active = resolve_claims(self._records.values())
        self._digest = _digest_of(self._records)
        return self._active != before

    def workspaces(self) -> tuple[Workspace, ...]:
        """All active workspaces."""
        return tuple(self._active.workspaces.values())

    def pools(self) -> tuple[Pool, ...]:
        """All active pools."""
        return tuple(self._active.pools.values())

    def workspace_by_token_hash(self, token_hash: str) -> Workspace | None:
        """Find the workspace that a caller's token belongs to.

        :param token_hash: hex SHA-256 digest of the token.
        """
        return self._active.by_token_hash.get(token_hash)

    def pool_by_model(self, model: str) -> Pool | None:
        """Find the pool that serves a model."""
        return self._active.by_model.get(model)

    def pool_by_service(self, name: str) -> Pool | None:
        """Find the pool of a plain service."""
        pool = self._active.pools.get(name)
        if pool is None or pool.pool_class is not PoolClass.SERVICE:
            return None
        return pool

    def rejected(self) -> tuple[RejectedCatalogueEntry, ...]:
        """List what is not active, with the reasons."""
        rejected_entries = []
        for key, record in self._records.items():
            lost_claims = self._active.lost_claims.get(key, ())
            reasons = record.latest.reasons + lost_claims
            if reasons:
                version = record.latest.version
                rejected_entries.append(
                    RejectedCatalogueEntry(key, version, reasons)
                )
        return tuple(rejected_entries)

    def digest(self) -> ConfigDigest:
        """Summarize the configuration."""
        return ConfigDigest(self.revision, self._digest)

    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        """Collect the changes that a peer lacks.

        :return: ``None`` if it lacks nothing or is ahead.
        """
        if peer.revision > self.revision or peer == self.digest():
            return None
        if self._deletions_kept_after <= peer.revision < self.revision:
            return self._update_since(peer.revision)
        return self._update_since(_INITIAL_REVISION)

    def _merge(self, config_object: ConfigObject) -> bool:
        record = self._records.get(config_object.key)
        if record is None:
            # The key did not exist at this view's revision, so an older change
            # is stale; applied from an instance that lags or has just
            # reconnected, it would undo a deletion.
            if config_object.version <= self.revision:
                return False
            record = KeyRecord(absent_at(config_object.key, self.revision))
            self._records[config_object.key] = record
        if record.includes(config_object.version):
            return False
        return record.merge(validate_change(config_object))

    def _apply_completeness(self, update: ConfigUpdate) -> bool:
        after_revision = complete_after(update)
        if after_revision is None or update.revision <= self.revision:
            return False
        dropped = False
        if after_revision == _INITIAL_REVISION:
            dropped = self._drop_absent(update)
            self._deletions_kept_after = update.revision
        if after_revision <= self.revision:
            self.revision = update.revision
        return dropped

    def _drop_absent(self, update: ConfigUpdate) -> bool:
        present = {config_object.key for config_object in update.objects}
        changed = False
        for key in self._records.keys() - present:
            record = self._records[key]
            # A newer change may be known already; the catalogue entry before
            # it is deleted nevertheless.
            changed |= record.merge(absent_at(key, update.revision))
            if record.latest.version <= update.revision:
                self._records.pop(key)
        return changed

    def _discard_old_deletions(self) -> None:
        deletions = sorted(
            (record.latest.version, key)
            for key, record in self._records.items()
            if not record.is_stored and record.latest.version <= self.revision
        )
        for version, key in deletions[
            : max(0, len(deletions) - self._kept_deletions)
        ]:
            self._records.pop(key)
            self._deletions_kept_after = max(
                self._deletions_kept_after, version
            )

    def _update_since(self, revision: int) -> ConfigUpdate:
        changes = [
            config_object
            for record in self._records.values()
            if record.latest.version > revision
            for config_object in record.config_objects()
        ]
        return complete_update(revision, self.revision, changes)


def _digest_of(records: dict[str, KeyRecord]) -> str:
    combined = reduce(xor, [record.digest for record in records.values()], 0)
    return format(combined, 'x')
