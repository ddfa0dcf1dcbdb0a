"""One kind of objects as a neighbour tells it; no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable

from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.feed import Follower
from sardinetrack.views.messages import ViewConfirmed, ViewObjects, stored


class BorrowedView(Follower):
    """Takes the own feed's word until a neighbour's is at least as new.

    A neighbour may itself be cut from the store, and its view older than
    what this instance has read. Were it taken, a server that is leaving would
    get work again. So it is held aside until it is confirmed for a time after
    the last change that came from the store directly: the store's answers are
    linearizable, so it then holds that change too.
    """

    def __init__(
        self,
        follower: Follower,
        clock: Callable[[], float],
    ) -> None:
        """Start with nothing.

        :param follower: takes whichever view is in force.
        :param clock: the boot clock, in seconds.
        """
        self.borrowed = False
        self._follower = follower
        self._own: dict[str, int] = {}
        self._own_change_seconds = -math.inf
        self._own_deletion_seconds = -math.inf
        self._told_seconds = -math.inf
        self._aside: dict[str, StoredObject] | None = None
        self._revision = 0
        self._clock = clock

    @property
    def ready(self) -> bool:
        """Whether what was told may go in force."""
        aside = self._aside
        if aside is None or self._told_seconds < self._own_deletion_seconds:
            return False
        if self._told_seconds >= self._own_change_seconds:
            return True
        return all(
            key in aside and aside[key].version >= version
            for key, version in self._own.items()
        )

    def listed(self, listing: Listing) -> None:
        """Take the own feed's listing."""
        if not self.borrowed:
            self._own = {one.key: one.version for one in listing.objects}
            self._own_change_seconds = self._clock()
            self._own_deletion_seconds = self._own_change_seconds
            self._follower.listed(listing)

    def changed(self, stored_object: StoredObject) -> None:
        """Take a change of the own feed."""
        if not self.borrowed:
            self._note_own(stored_object)
            self._follower.changed(stored_object)

    def confirmed(self, asked_seconds: float) -> None:
        """Take a confirmation of the own feed."""
        if not self.borrowed:
            self._follower.confirmed(asked_seconds)

    def lost(self) -> None:
        """Note that the store does not answer."""
        if not self.borrowed:
            self._follower.lost()

    def borrow(self) -> None:
        """Put in force what was told; the own feed's word counts no more."""
        assert self._aside is not None  # noqa: S101
        self.borrowed = True
        self._take(list(self._aside.values()), whole=True)
        self._follower.confirmed(self._told_seconds)

    def outage(self) -> None:
        """Note that the neighbour could not read the store for a moment."""
        self._follower.lost()

    def drop(self) -> None:
        """Forget what was told; the own feed lists anew."""
        self.borrowed = False
        self._aside = None
        self._told_seconds = -math.inf

    def told(self, message: ViewObjects) -> None:
        """Take objects of the neighbour."""
        objects = [stored(one) for one in message.objects]
        self._revision = message.revision
        if self.borrowed:
            self._take(objects, whole=message.whole)
        elif message.whole:
            self._aside = {one.key: one for one in objects}
        elif self._aside is not None:
            _change(self._aside, objects)

    def sure(self, message: ViewConfirmed) -> None:
        """Take a confirmation of the neighbour."""
        self._told_seconds = message.confirmed_seconds
        if self.borrowed:
            self._follower.confirmed(message.confirmed_seconds)

    def _note_own(self, stored_object: StoredObject) -> None:
        self._own_change_seconds = self._clock()
        if stored_object.deleted:
            self._own_deletion_seconds = self._own_change_seconds
            self._own.pop(stored_object.key, None)
        else:
            self._own[stored_object.key] = stored_object.version

    def _take(self, objects: list[StoredObject], *, whole: bool) -> None:
        if whole:
            self._follower.listed(Listing(self._revision, tuple(objects)))
            return
        for one in objects:
            self._follower.changed(one)


def _change(
    aside: dict[str, StoredObject],
    objects: list[StoredObject],
) -> None:
    for one in objects:
        aside.pop(one.key, None)
        if not one.deleted:
            aside[one.key] = one
