"""Access to the platform: its object API and its list of instances."""

from __future__ import annotations
