"""Completeness of configuration updates.

An update that contains *every* change after one revision up to another lets its
receiver derive which keys were deleted without a list of them. Such an update
contains one more object, whose key is the catalogue's prefix and whose version
is the revision after which the update is complete.
"""

from __future__ import annotations

from collections.abc import Iterable

from sardinetrack.catalogue.api import CATALOGUE_PREFIX
from sardinetrack.messages.api import ConfigObject, ConfigUpdate
from sardinetrack.store.api import Listing, StoredObject


def complete_update(
    after_revision: int,
    revision: int,
    changes: Iterable[ConfigObject],
) -> ConfigUpdate:
    """Build an update that is complete between two revisions.

    :param after_revision: 0 if it contains all that is live at ``revision``.
    """
    marker = ConfigObject(CATALOGUE_PREFIX, after_revision, '', deleted=True)
    return ConfigUpdate(revision, (marker, *changes))


def complete_after(update: ConfigUpdate) -> int | None:
    """Return the revision after which an update is complete, if it is."""
    markers = (
        change for change in update.objects if change.key == CATALOGUE_PREFIX
    )
    marker = next(markers, None)
    return marker.version if marker else None


def sorted_changes(update: ConfigUpdate) -> list[ConfigObject]:
    """List the changes of an update, oldest first."""
    selected = [
        change for change in update.objects if change.key != CATALOGUE_PREFIX
    ]
    selected.sort(key=_version_of)
    return selected


def update_from_listing(after_revision: int, listing: Listing) -> ConfigUpdate:
    """Convert a listing of the platform to an update.

    :param after_revision: 0 for a list, the watched revision for a watch.
    """
    changes = (_config_object(stored) for stored in listing.objects)
    return complete_update(after_revision, listing.revision, changes)


def _config_object(stored: StoredObject) -> ConfigObject:
    text = stored.value.decode(errors='replace')
    return ConfigObject(stored.key, stored.version, text, stored.deleted)


def _version_of(change: ConfigObject) -> int:
    return change.version
