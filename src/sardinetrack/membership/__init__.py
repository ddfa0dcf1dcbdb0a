"""The instances of the system, by the platform's lagging list."""

from __future__ import annotations
