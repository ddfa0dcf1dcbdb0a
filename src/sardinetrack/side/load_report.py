"""The load that a model engine reports."""

from __future__ import annotations

from msgspec import Struct


class LoadReport(Struct, frozen=True):
    """Load as reported by a model engine; it lags."""

    running: int = 0
    waiting: int = 0
    tokens_per_second: float = 0
    kv_cache_use: float = 0
