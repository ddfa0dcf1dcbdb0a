"""The configuration as one node knows it; no I/O.

Changes come from lists, watches and neighbours, late, twice and in any order.
The view keeps, for each key, the newest change and the newest good one, and
the revision up to which it knows everything. A node that knows everything up
to a revision and holds no key also knows that the key is gone: that is how a
stale neighbour is kept from bringing a deleted entry back, without a record
of each deletion kept for ever.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import reduce
from operator import xor
from typing import Final

from sardinetrack.catalogue.api import Pool, PoolClass, Workspace
from sardinetrack.catalogue.coverage import (
    changes_in,
    covered_after,
    covering,
)
from sardinetrack.catalogue.in_force import InForce, settle
from sardinetrack.catalogue.record import KeyRecord, absence, read_change
from sardinetrack.messages.api import ConfigDigest, ConfigObject, ConfigUpdate

_NOTHING_KNOWN: Final = 0
_KEPT_DELETIONS: Final = 1024


@dataclass(frozen=True, slots=True)
class RejectedEntry:
    """An entry, or a claim of one, that is not in force."""

    key: str
    version: int
    reasons: tuple[str, ...]


class CatalogueView:
    """Workspaces and pools in force at one node; never goes back."""

    def __init__(self, *, kept_deletions: int = _KEPT_DELETIONS) -> None:
        """Start empty.

        :param kept_deletions: deletions kept to tell others by themselves;
            a peer that is further behind gets everything.
        """
        self.revision = _NOTHING_KNOWN
        self._kept_deletions = kept_deletions
        self._records: dict[str, KeyRecord] = {}
        # Every deletion after this revision is still held as a record.
        self._horizon = _NOTHING_KNOWN
        self._in_force = InForce()
        self._digest = _digest_of(self._records)

    def apply(self, update: ConfigUpdate) -> bool:
        """Take in changes from any source.

        :return: whether anything in force changed.
        """
        merged = [self._merge(origin) for origin in changes_in(update)]
        dropped = self._cover(update)
        if not any(merged) and not dropped:
            return False
        self._forget_deletions()
        before = self._in_force
        self._in_force = settle(self._records.values())
        self._digest = _digest_of(self._records)
        return self._in_force != before

    def workspaces(self) -> tuple[Workspace, ...]:
        """All workspaces in force."""
        return tuple(self._in_force.workspaces.values())

    def pools(self) -> tuple[Pool, ...]:
        """All pools in force."""
        return tuple(self._in_force.pools.values())

    def workspace_by_token_hash(self, token_hash: str) -> Workspace | None:
        """Find the workspace that a caller's token belongs to.

        :param token_hash: hex SHA-256 digest of the token.
        """
        return self._in_force.by_token_hash.get(token_hash)

    def pool_by_model(self, model: str) -> Pool | None:
        """Find the pool that serves a model."""
        return self._in_force.by_model.get(model)

    def pool_by_service(self, name: str) -> Pool | None:
        """Find the pool of a plain service."""
        pool = self._in_force.pools.get(name)
        if pool is None or pool.pool_class is not PoolClass.SERVICE:
            return None
        return pool

    def rejected(self) -> tuple[RejectedEntry, ...]:
        """Tell what is not in force and why."""
        rows = []
        for key, record in self._records.items():
            denied = self._in_force.denied.get(key, ())
            reasons = record.latest.reasons + denied
            if reasons:
                version = record.latest.version
                rows.append(RejectedEntry(key, version, reasons))
        return tuple(rows)

    def digest(self) -> ConfigDigest:
        """Describe the configuration in brief."""
        return ConfigDigest(self.revision, self._digest)

    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        """Collect what a peer lacks.

        :return: ``None`` when it lacks nothing or is ahead.
        """
        if peer.revision > self.revision or peer == self.digest():
            return None
        if self._horizon <= peer.revision < self.revision:
            return self._since(peer.revision)
        return self._since(_NOTHING_KNOWN)

    def _merge(self, origin: ConfigObject) -> bool:
        record = self._records.get(origin.key)
        if record is None:
            # Nothing stood there at our revision: an older change is stale,
            # a node that lags or has just come back would undo a deletion.
            if origin.version <= self.revision:
                return False
            record = KeyRecord(absence(origin.key, self.revision))
            self._records[origin.key] = record
        if record.knows(origin.version):
            return False
        return record.merge(read_change(origin))

    def _cover(self, update: ConfigUpdate) -> bool:
        after_revision = covered_after(update)
        if after_revision is None or update.revision <= self.revision:
            return False
        dropped = False
        if after_revision == _NOTHING_KNOWN:
            dropped = self._drop_absent(update)
            self._horizon = update.revision
        if after_revision <= self.revision:
            self.revision = update.revision
        return dropped

    def _drop_absent(self, update: ConfigUpdate) -> bool:
        present = {origin.key for origin in update.objects}
        changed = False
        for key in self._records.keys() - present:
            record = self._records[key]
            # A newer change may be known already; the entry that stood there
            # before it is gone all the same.
            changed |= record.merge(absence(key, update.revision))
            if record.latest.version <= update.revision:
                self._records.pop(key)
        return changed

    def _forget_deletions(self) -> None:
        known = sorted(
            (record.latest.version, key)
            for key, record in self._records.items()
            if not record.live and record.latest.version <= self.revision
        )
        for version, key in known[: max(0, len(known) - self._kept_deletions)]:
            self._records.pop(key)
            self._horizon = max(self._horizon, version)

    def _since(self, revision: int) -> ConfigUpdate:
        rows = [
            origin
            for record in self._records.values()
            if record.latest.version > revision
            for origin in record.origins()
        ]
        return covering(revision, self.revision, rows)


def _digest_of(records: dict[str, KeyRecord]) -> str:
    combined = reduce(xor, [record.digest for record in records.values()], 0)
    return format(combined, 'x')
