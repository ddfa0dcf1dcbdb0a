"""Numbers that other processes report, with their limits."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

MAX_COUNT: Final = 1_000_000_000_000_000
"""Far above any count or time; larger integers can overflow a float."""
_MAX_SEQUENCE: Final = 9_223_372_036_854_775_807
"""The largest integer of 64 bits."""
_MAX_WARMUP_MILLISECONDS: Final = 86_400_000
"""A day. Servers warm up in seconds; one that claims to take for ever would be
sent no more than a cold server for as long as its object stands."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SEQUENCE)]
WarmupMilliseconds = Annotated[
    float, msgspec.Meta(ge=0, le=_MAX_WARMUP_MILLISECONDS)
]
