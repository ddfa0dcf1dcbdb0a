"""Routing decisions of an entry: when and to which side requests go. No I/O."""

from __future__ import annotations
