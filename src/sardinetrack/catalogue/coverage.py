"""What a configuration update covers.

An update that holds *every* change after one revision up to another lets its
receiver know what is gone without having been told, key by key. It says so by
one more object, whose key is the catalogue's prefix and whose version is the
revision after which the update is complete.
"""

from __future__ import annotations

from collections.abc import Iterable

from sardinetrack.catalogue.api import CATALOGUE_PREFIX
from sardinetrack.messages.api import ConfigObject, ConfigUpdate
from sardinetrack.store.api import Listing, StoredObject


def covering(
    after_revision: int,
    revision: int,
    changes: Iterable[ConfigObject],
) -> ConfigUpdate:
    """Build an update that is complete between two revisions.

    :param after_revision: 0 when it holds all that is live at ``revision``.
    """
    mark = ConfigObject(CATALOGUE_PREFIX, after_revision, '', deleted=True)
    return ConfigUpdate(revision, (mark, *changes))


def covered_after(update: ConfigUpdate) -> int | None:
    """Tell after which revision an update is complete, if it is."""
    marks = (row for row in update.objects if row.key == CATALOGUE_PREFIX)
    mark = next(marks, None)
    return mark.version if mark else None


def changes_in(update: ConfigUpdate) -> list[ConfigObject]:
    """List the changes of an update, oldest first."""
    rows = [row for row in update.objects if row.key != CATALOGUE_PREFIX]
    rows.sort(key=_version_of)
    return rows


def platform_update(after_revision: int, listing: Listing) -> ConfigUpdate:
    """Turn what the platform gave into an update.

    :param after_revision: 0 for a list, the watched revision for a watch.
    """
    changes = (_config_object(stored) for stored in listing.objects)
    return covering(after_revision, listing.revision, changes)


def _config_object(stored: StoredObject) -> ConfigObject:
    text = stored.value.decode(errors='replace')
    return ConfigObject(stored.key, stored.version, text, stored.deleted)


def _version_of(row: ConfigObject) -> int:
    return row.version
