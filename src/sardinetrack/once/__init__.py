"""Claims of idempotency keys: at most one execution for each key."""

from __future__ import annotations
