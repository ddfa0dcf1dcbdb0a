"""Refusals by the daemon itself, without a decision of the admission object."""

from __future__ import annotations

from enum import StrEnum


class DaemonRefusal(StrEnum):
    """Reasons besides those of the admission object."""

    BAD_ORDER = 'bad_order'
    OTHER_INCARNATION = 'other_incarnation'
    NO_CONFIGURATION = 'no_configuration'
    NO_SERVER = 'no_server'
