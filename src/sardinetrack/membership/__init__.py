"""Which instances there are, as the platform's lagging list tells."""

from __future__ import annotations
