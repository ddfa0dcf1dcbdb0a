"""A side's watcher in tests without a store."""

from __future__ import annotations

from sardinetrack.views.watcher import FeedFactory, Watcher


class _NoFeeds(FeedFactory):
    def create_feeds(self, mirrors):
        return []


def idle_watcher(log):
    """Return a watcher that watches nothing."""
    return Watcher(_NoFeeds(), (), log)
