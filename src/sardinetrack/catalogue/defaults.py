"""Default limits of workspaces and pools."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from sardinetrack.catalogue.api import ServiceClass, WorkspaceLimits

MAX_BODY_BYTES: Final = 4_000_000
MAX_RUN_SECONDS: Final = 600.0
SLOTS_PER_SERVER: Final = 8
PROMPT_TOKEN_COST: Final = 0.1

_CONCURRENCY: Final = 16
_RATE_PER_SECOND: Final = 50
_INTERACTIVE_WAITING: Final = 64
_STANDARD_WAITING: Final = 128
_BATCH_WAITING: Final = 512
_WEIGHT: Final = 1.0
_BATCH_WEIGHT: Final = 0.5


def _limits(weight: float, waiting: int) -> WorkspaceLimits:
    return WorkspaceLimits(weight, _CONCURRENCY, _RATE_PER_SECOND, waiting)


_BY_CLASS: Final = MappingProxyType(
    {
        ServiceClass.INTERACTIVE: _limits(_WEIGHT, _INTERACTIVE_WAITING),
        ServiceClass.STANDARD: _limits(_WEIGHT, _STANDARD_WAITING),
        ServiceClass.BATCH: _limits(_BATCH_WEIGHT, _BATCH_WAITING),
    }
)


def default_limits(service_class: ServiceClass) -> WorkspaceLimits:
    """Return the default limits of a class."""
    return _BY_CLASS[service_class]
