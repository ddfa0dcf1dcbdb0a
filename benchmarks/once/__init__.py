"""What claims of idempotency keys cost in calls on the platform."""

from __future__ import annotations
