"""A view of one kind of objects, received from a neighbour; no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.feed import FeedListener
from sardinetrack.views.messages import (
    ViewConfirmed,
    ViewObjects,
    decode_object,
)

_LAG_SECONDS: Final = 0.5
"""For the way of a confirmation, and the time before the next watch begins."""


def max_silence_seconds(wait_seconds: float) -> float:
    """Return how long a neighbour's view is relied on without confirmation.

    :param wait_seconds: how long the neighbour's watches wait.
    """
    return wait_seconds + _LAG_SECONDS


class BorrowedView(FeedListener):
    """Uses the direct feed until a neighbour's view is at least as new.

    A neighbour may itself be disconnected from the store, and its view older
    than what this instance has read. With such a view a draining server would
    get work again. So the neighbour's view is not in effect until it is
    confirmed for a time after the last change read directly from the store.
    The store's responses are linearizable, so it then contains that change.
    The same holds for what another neighbour has sent.

    A view that is not confirmed for some time is not relied on.
    """

    def __init__(
        self,
        listener: FeedListener,
        clock: Callable[[], float],
        wait_seconds: float,
    ) -> None:
        """Start without objects.

        :param listener: receives the view that is in effect.
        :param clock: the boot clock, in seconds.
        :param wait_seconds: how long the watches of a neighbour wait.
        """
        self.borrowed = False
        self._listener = listener
        self._wait_seconds = wait_seconds
        self._complete_seconds = -math.inf
        self._versions: dict[str, int] = {}
        self._changed_seconds = -math.inf
        self._deleted_seconds = -math.inf
        self._confirmed_seconds = -math.inf
        self._pending: dict[str, StoredObject] | None = None
        self._revision = 0
        self._clock = clock

    @property
    def expires_seconds(self) -> float:
        """Until when the neighbour's view is relied on, by the boot clock."""
        return self._complete_seconds + max_silence_seconds(self._wait_seconds)

    @property
    def ready(self) -> bool:
        """Whether the neighbour's view is new enough to take effect."""
        pending, confirmed = self._pending, self._confirmed_seconds
        # Of a view that was never confirmed nothing is known at all.
        if pending is None or self._clock() >= self.expires_seconds:
            return False
        if confirmed < self._deleted_seconds:
            return False
        if confirmed >= self._changed_seconds:
            return True
        return all(
            key in pending and pending[key].version >= version
            for key, version in self._versions.items()
        )

    def listed(self, listing: Listing) -> None:
        """Apply a listing of the direct feed."""
        if not self.borrowed:
            self._use_listing(listing)

    def changed(self, stored_object: StoredObject) -> None:
        """Apply a change of the direct feed."""
        if not self.borrowed:
            self._use_change(stored_object)

    def confirmed(self, asked_seconds: float) -> None:
        """Apply a confirmation of the direct feed."""
        if not self.borrowed:
            self._listener.confirmed(asked_seconds)

    def lost(self, failed_seconds: float) -> None:
        """Handle that the store does not respond to the direct feed."""
        if not self.borrowed:
            self._listener.lost(failed_seconds)

    def returned(self, failed_seconds: float) -> None:
        """Handle that the store responds to the direct feed again."""
        if not self.borrowed:
            self._listener.returned(failed_seconds)

    def borrow(self) -> None:
        """Put the neighbour's view in effect and ignore the direct feed."""
        assert self._pending is not None  # noqa: S101
        self.borrowed = True
        self._apply(list(self._pending.values()), complete=True)
        self._listener.confirmed(self._confirmed_seconds)

    def reset(self) -> None:
        """Discard the neighbour's view; the direct feed lists again."""
        self.borrowed = False
        self._pending = None
        self._confirmed_seconds = -math.inf
        self._complete_seconds = -math.inf

    def receive_objects(self, message: ViewObjects) -> None:
        """Apply objects of the neighbour."""
        objects = [decode_object(one) for one in message.objects]
        self._revision = message.revision
        if self.borrowed:
            self._apply(objects, complete=message.complete)
        elif message.complete:
            self._pending = {one.key: one for one in objects}
        elif self._pending is not None:
            _update(self._pending, objects)

    def receive_confirmation(self, message: ViewConfirmed) -> None:
        """Apply a confirmation of the neighbour."""
        asked_seconds = message.confirmed_seconds
        self._confirmed_seconds = max(self._confirmed_seconds, asked_seconds)
        # A response without changes was made after the wait. One that has
        # been in a buffer since then says nothing of the time after.
        made_seconds = min(self._clock(), asked_seconds + self._wait_seconds)
        self._complete_seconds = max(self._complete_seconds, made_seconds)
        if self.borrowed:
            self._listener.confirmed(message.confirmed_seconds)

    def _apply(self, objects: list[StoredObject], *, complete: bool) -> None:
        if complete:
            self._use_listing(Listing(self._revision, tuple(objects)))
            return
        for one in objects:
            self._use_change(one)

    def _use_listing(self, listing: Listing) -> None:
        self._versions = {one.key: one.version for one in listing.objects}
        self._changed_seconds = self._clock()
        self._deleted_seconds = self._changed_seconds
        self._listener.listed(listing)

    def _use_change(self, stored_object: StoredObject) -> None:
        self._changed_seconds = self._clock()
        if stored_object.deleted:
            self._deleted_seconds = self._changed_seconds
            self._versions.pop(stored_object.key, None)
        else:
            self._versions[stored_object.key] = stored_object.version
        self._listener.changed(stored_object)


def _update(
    pending: dict[str, StoredObject],
    objects: list[StoredObject],
) -> None:
    for one in objects:
        pending.pop(one.key, None)
        if not one.deleted:
            pending[one.key] = one
