"""Nodes that follow one platform by lists, watches and gossip."""

from __future__ import annotations

from histories import naive, seen_in

from sardinetrack.catalogue.coverage import changes_in, covering
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate


class World:
    """A platform whose history unfolds and nodes that follow it."""

    def __init__(self, chance, history):
        self._chance = chance
        self._history = history
        self._now = 0
        self._nodes = [CatalogueView(kept_deletions=2) for _ in range(4)]

    def step(self):
        """Let time pass, then let one node learn something."""
        self._now += self._chance.randint(0, 2)
        self._now = min(self._now, len(self._history))
        node, other = self._chance.sample(self._nodes, 2)
        before = seen_in(node)
        turns = (self._list, self._watch, self._hear, self._relay)
        self._chance.choice(turns)(node, other)
        self._check(node, before)

    def finish(self):
        """Let one node list and all gossip; compare with the platform."""
        self._now = len(self._history)
        first = self._nodes[0]
        self._list(first, first)
        for _ in range(2):
            for node in self._nodes[1:]:
                self._hear(node, first)
                self._hear(first, node)
        for node in self._nodes:
            assert node.digest() == first.digest()
            assert seen_in(node) == seen_in(first)
            self._check(node, {})

    def _list(self, node, _):
        latest = self._latest(0, self._now)
        live = [one for one in latest.values() if not one.deleted]
        node.apply(covering(0, self._now, live))

    def _watch(self, node, _):
        after = self._chance.randint(0, self._now)
        changes = self._latest(after, self._now).values()
        node.apply(covering(after, self._now, changes))

    def _hear(self, node, other):
        update = other.update_for(node.digest())
        if update:
            node.apply(update)

    def _relay(self, node, other):
        update = other.update_for(ConfigDigest(0, ''))
        rows = changes_in(update) if update else []
        some = self._chance.sample(rows, len(rows) // 2)
        node.apply(ConfigUpdate(update.revision if update else 0, tuple(some)))

    def _latest(self, after, until):
        return {one.key: one for one in self._history[after:until]}

    def _check(self, node, before):
        in_force = seen_in(node)
        for key, (version, _) in before.items():
            self._not_back(key, version, in_force.get(key, (0,))[0])
        known = self._latest(0, node.revision)
        truth = naive(self._history[: node.revision])
        for key, one in known.items():
            if 'heavy' not in one.value:
                wanted = truth.get(key, (0,))[0]
                found = in_force.get(key, (0,))[0]
                allowed = {wanted} | self._later(key, node.revision)
                assert found in allowed, (key, found, allowed)

    def _not_back(self, key, version, found):
        gone = [
            one.version
            for one in self._history[: self._now]
            if one.key == key and one.deleted
        ]
        assert found >= version or max(gone, default=0) > version, key

    def _later(self, key, revision):
        """Versions that may be in force by changes after the revision."""
        rows = [one for one in self._history[revision:] if one.key == key]
        return {0 if one.deleted else one.version for one in rows}
