"""Cost of claims of idempotency keys, in calls on the platform's store."""

from __future__ import annotations
