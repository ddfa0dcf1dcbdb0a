"""Claims of idempotency keys: at most one execution per key."""

from __future__ import annotations
