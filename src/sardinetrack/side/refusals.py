"""Why the daemon itself refuses an order, before the decision is asked."""

from __future__ import annotations

from enum import StrEnum


class DaemonRefusal(StrEnum):
    """Reasons beside those of the decision object."""

    BAD_ORDER = 'bad_order'
    OTHER_INCARNATION = 'other_incarnation'
    NO_CONFIGURATION = 'no_configuration'
    NO_SERVER = 'no_server'
