"""Instances that follow one platform by lists, watches and gossip."""

from __future__ import annotations

from histories import active_in, reference

from sardinetrack.catalogue.coverage import complete_update, sorted_changes
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate


class World:
    """A platform with a growing history, and instances that follow it."""

    def __init__(self, rng, history):
        self._rng = rng
        self._history = history
        self._now = 0
        self._instances = [CatalogueView(kept_deletions=2) for _ in range(4)]

    def step(self):
        """Advance the history, then update one instance."""
        self._now += self._rng.randint(0, 2)
        self._now = min(self._now, len(self._history))
        instance, other = self._rng.sample(self._instances, 2)
        before = active_in(instance)
        actions = (self._list, self._watch, self._receive, self._relay)
        self._rng.choice(actions)(instance, other)
        self._check(instance, before)

    def finish(self):
        """Let one instance list and all gossip; compare with the platform."""
        self._now = len(self._history)
        first = self._instances[0]
        self._list(first, first)
        for _ in range(2):
            for instance in self._instances[1:]:
                self._receive(instance, first)
                self._receive(first, instance)
        for instance in self._instances:
            assert instance.digest() == first.digest()
            assert active_in(instance) == active_in(first)
            self._check(instance, {})

    def _list(self, instance, _):
        latest = self._latest(0, self._now)
        live = [one for one in latest.values() if not one.deleted]
        instance.apply(complete_update(0, self._now, live))

    def _watch(self, instance, _):
        after = self._rng.randint(0, self._now)
        changes = self._latest(after, self._now).values()
        instance.apply(complete_update(after, self._now, changes))

    def _receive(self, instance, other):
        update = other.update_for(instance.digest())
        if update:
            instance.apply(update)

    def _relay(self, instance, other):
        update = other.update_for(ConfigDigest(0, ''))
        rows = sorted_changes(update) if update else []
        some = self._rng.sample(rows, len(rows) // 2)
        instance.apply(
            ConfigUpdate(update.revision if update else 0, tuple(some))
        )

    def _latest(self, after, until):
        return {one.key: one for one in self._history[after:until]}

    def _check(self, instance, before):
        active = active_in(instance)
        for key, (version, _) in before.items():
            self._check_not_reverted(key, version, active.get(key, (0,))[0])
        known = self._latest(0, instance.revision)
        expected = reference(self._history[: instance.revision])
        for key, one in known.items():
            if 'heavy' not in one.value:
                expected_version = expected.get(key, (0,))[0]
                found = active.get(key, (0,))[0]
                allowed = {expected_version} | self._later_versions(
                    key, instance.revision
                )
                assert found in allowed, (key, found, allowed)

    def _check_not_reverted(self, key, version, found):
        deletions = [
            one.version
            for one in self._history[: self._now]
            if one.key == key and one.deleted
        ]
        assert found >= version or max(deletions, default=0) > version, key

    def _later_versions(self, key, revision):
        """Versions that may be active through changes after the revision."""
        rows = [one for one in self._history[revision:] if one.key == key]
        return {0 if one.deleted else one.version for one in rows}
